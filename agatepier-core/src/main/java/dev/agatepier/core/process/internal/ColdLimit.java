package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.version.WarmUp;
import java.util.Optional;

/**
 * Limit of the requests to each cold upstream of a service. docs/design/cold-upstreams.md derives
 * the constants.
 *
 * @param warmUpNanos time for which an upstream is cold after its start, in nanoseconds
 * @param requestMillis time that a cold upstream takes for one request at the rate that it
 *     tolerates, in milliseconds
 * @param bound requests that a cold upstream may get in any second, from all routers together
 */
record ColdLimit(long warmUpNanos, double requestMillis, int bound) {

  /**
   * Maximum grants to a cold upstream without a first event. It bounds how many requests reach an
   * upstream at once that was suspended itself.
   */
  static final int MAX_PENDING = 4;

  /** Highest bound: each grant within it is remembered. */
  private static final int MAXIMUM_BOUND = 1_000;

  /** Slot allocators that may grant slots of the same upstream at one time. */
  private static final int ALLOCATORS = 2;

  /** Grants of each allocator's part that are left to a request that is delayed for any time. */
  private static final int RESERVE = 1;

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** Returns the limit of a service; empty if its upstreams or the settings ask for none. */
  static Optional<ColdLimit> of(SlotAllocatorPolicy policy, Optional<WarmUp> warmUp) {
    return policy.coldOverage() > 0
        ? warmUp.map(
            found ->
                new ColdLimit(
                    found.durationMillis() * NANOS_PER_MILLI,
                    MILLIS_PER_SECOND / found.requestsPerSecond(),
                    bound(policy, found)))
        : Optional.empty();
  }

  /** Returns the rate that a cold upstream tolerates, in requests a second. */
  double requestsPerSecond() {
    return MILLIS_PER_SECOND / requestMillis;
  }

  private static int bound(SlotAllocatorPolicy policy, WarmUp warmUp) {
    double bound = warmUp.requestsPerSecond() * policy.coldOverage() + policy.coldSlack();
    return (int) Math.min(bound, MAXIMUM_BOUND);
  }

  /**
   * Returns the maximum number of grants of one allocator within {@link
   * ColdGrantWindow#WINDOW_NANOS}.
   *
   * @param share share of the routers that are connected to the allocator, above 0 and up to 1
   */
  int quota(double share) {
    return Math.max(0, (int) (share * (bound / ALLOCATORS - RESERVE)));
  }
}
