package dev.agatepier.core.process;

import java.util.Objects;

/**
 * Settings of a sidecar's decision.
 *
 * @param order name of the fair-queueing order: {@code virtual-service}, {@code local-service} or
 *     {@code first-come}
 * @param minimumSlots minimum number of slots, and so of concurrent requests
 * @param maximumSlots maximum number of slots, and so of concurrent requests
 * @param tokenGapMillis time between tokens above which the number of slots is reduced, in
 *     milliseconds
 * @param grantMillis timeout of a grant that the router has not replied to, in milliseconds
 * @param reportMillis interval between cost reports, in milliseconds
 * @param catchUpCost maximum cost per weight by which a workspace may be behind or ahead after a
 *     partition, in cost units
 * @param ticketMillis time for which a request with a ticket is remembered, in milliseconds
 * @param rememberedBytes maximum total size of the responses kept for replay, in bytes
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

  /** The default values. */
  public static final SidecarPolicy DEFAULT =
      new SidecarPolicy("virtual-service", 1, 32, 31, 1_000, 250, 100_000, 600_000, 4_194_304);

  /** Checks that every value is in range. */
  public SidecarPolicy {
    Objects.requireNonNull(order, "order");
    if (minimumSlots < 1 || maximumSlots < minimumSlots) {
      throw new IllegalArgumentException(
          "sidecar policy: minimumSlots "
              + minimumSlots
              + " must be at least 1, maximumSlots "
              + maximumSlots
              + " at least minimumSlots");
    }
    if (tokenGapMillis < 1 || grantMillis < 1 || reportMillis < 1) {
      throw new IllegalArgumentException(
          "sidecar policy: tokenGapMillis "
              + tokenGapMillis
              + ", grantMillis "
              + grantMillis
              + ", reportMillis "
              + reportMillis
              + ": each must be at least 1");
    }
    if (!(catchUpCost > 0) || ticketMillis < 0 || rememberedBytes < 0) {
      throw new IllegalArgumentException(
          "sidecar policy: catchUpCost "
              + catchUpCost
              + " must be above 0, ticketMillis "
              + ticketMillis
              + " and rememberedBytes "
              + rememberedBytes
              + " at least 0");
    }
  }
}
