package dev.agatepier.wire.request;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.ResponseHead;
import java.util.Objects;

/**
 * A complete response that the fleet generates itself.
 *
 * @param head status and headers, without those for message framing
 * @param body content of the response
 */
public record FleetResponse(ResponseHead head, Bytes body) {

  /** Checks that neither component is null. */
  public FleetResponse {
    Objects.requireNonNull(head, "head");
    Objects.requireNonNull(body, "body");
  }
}
