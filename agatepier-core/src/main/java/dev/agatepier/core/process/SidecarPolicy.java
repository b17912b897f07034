package dev.agatepier.core.process;

import java.util.Objects;

/**
 * What operators may set about a sidecar's decisions.
 *
 * @param order name of the fair order: {@code virtual-service}, {@code local-service} or {@code
 *     first-come}
 * @param minimumSlots least requests that run at one time
 * @param maximumSlots most requests that run at one time
 * @param tokenGapMillis gap between tokens above which slots are taken away, in milliseconds
 * @param grantMillis how long a router may take to answer a grant, in milliseconds
 * @param reportMillis time between reports of cost, in milliseconds
 * @param catchUpCost most cost per weight that a workspace may lag behind or be ahead after a
 *     partition, in cost units
 * @param ticketMillis how long a ticketed request is remembered, in milliseconds
 * @param rememberedBytes most bytes of answers kept for resends
 */
public record SidecarPolicy(
    String order,
    int minimumSlots,
    int maximumSlots,
    long tokenGapMillis,
    long grantMillis,
    long reportMillis,
    double catchUpCost,
    long ticketMillis,
    long rememberedBytes) {

  /** The values used where settings say nothing. */
  public static final SidecarPolicy DEFAULT =
      new SidecarPolicy("virtual-service", 1, 32, 31, 1_000, 250, 100_000, 600_000, 4_194_304);

  /** Checks that every value is in range. */
  public SidecarPolicy {
    Objects.requireNonNull(order, "order");
    if (minimumSlots < 1 || maximumSlots < minimumSlots) {
      throw new IllegalArgumentException("slots must be from 1 up, the maximum not below");
    }
    if (tokenGapMillis < 1 || grantMillis < 1 || reportMillis < 1) {
      throw new IllegalArgumentException("a time of the sidecar policy is below 1 ms");
    }
    if (!(catchUpCost > 0) || ticketMillis < 0 || rememberedBytes < 0) {
      throw new IllegalArgumentException("a bound of the sidecar policy is out of range");
    }
  }
}
