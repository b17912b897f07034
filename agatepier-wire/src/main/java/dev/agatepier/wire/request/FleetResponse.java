package dev.agatepier.wire.request;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.ResponseHead;
import java.util.Objects;

/**
 * A whole answer that the fleet makes itself.
 *
 * @param head status and headers, without those that frame the body
 * @param body the body
 */
public record FleetResponse(ResponseHead head, Bytes body) {

  /** Checks that both parts are present. */
  public FleetResponse {
    Objects.requireNonNull(head, "head");
    Objects.requireNonNull(body, "body");
  }
}
