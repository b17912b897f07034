package dev.agatepier.core.request;

import java.util.Objects;

/**
 * Identifies one request across the fleet.
 *
 * @param router name of the router that accepted the request
 * @param incarnation incarnation of that router's process
 * @param number sequence number within the incarnation, from 1
 */
public record RequestId(String router, long incarnation, long number) {

  /** Rejects a null router. */
  public RequestId {
    Objects.requireNonNull(router, "router");
  }

  @Override
  public String toString() {
    return router + "/" + Long.toHexString(incarnation) + "/" + number;
  }
}
