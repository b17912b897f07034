package dev.agatepier.core.process;

/**
 * Settings of a slot allocator.
 *
 * @param backlogMillis maximum pending prefill at a model engine that is granted another request,
 *     in milliseconds
 * @param memoryShare share of a model engine's memory that running requests may use, from 0 to 1
 * @param stallMillis time without any progress, beyond the expected prefill of the next prompt,
 *     after which an upstream is considered stalled, in milliseconds
 * @param lateMillis time for which a request continues to wait after it can no longer meet its
 *     objective, in milliseconds
 * @param retryAfterMillis retry delay advised to a caller whose request was rejected, in
 *     milliseconds
 * @param admission from when on the objective of a request counts: {@link #ARRIVAL} at the router,
 *     or {@link #FIRST_ATTEMPT} of its caller
 * @param costWindowMillis period over which operators compare the service of workspaces, in
 *     milliseconds: older cost has little weight in the fair-queueing order; 0 if cost never loses
 *     weight
 * @param coldOverage factor of the rate that a cold upstream tolerates in the number of requests
 *     that it may get in a second; 0 if requests to cold upstreams are not limited
 * @param coldSlack requests that a cold upstream may get in a second in addition
 * @param evenLoad whether upstreams that do not state the pace of their machine are chosen by the
 *     estimate of their load as well
 */
public record SlotAllocatorPolicy(
    long backlogMillis,
    double memoryShare,
    long stallMillis,
    long lateMillis,
    long retryAfterMillis,
    long costWindowMillis,
    double coldOverage,
    double coldSlack,
    boolean evenLoad,
    String admission) {

  /** Maximum sum of the overage and the slack, far above any useful one. */
  private static final double MAXIMUM_COLD = 1_000;

  /** The objective counts from the arrival at the router, also for a repeated request. */
  public static final String ARRIVAL = "arrival";

  /**
   * The objective counts from the caller's first attempt. Requests that are late on their arrival
   * get what the others leave, a margin for the error of predictions is kept, and rejected callers
   * are advised to come back when the shortage is expected to be over.
   */
  public static final String FIRST_ATTEMPT = "first-attempt";

  /** The default values. docs/decisions/0011 documents the experiments behind them. */
  public static final SlotAllocatorPolicy DEFAULT =
      new SlotAllocatorPolicy(80, 0.92, 1_500, 0, 1_000, 0, 0, 0, false, ARRIVAL);

  /** Checks that every value is in range. */
  public SlotAllocatorPolicy {
    if (backlogMillis < 0
        || stallMillis < 1
        || lateMillis < 0
        || retryAfterMillis < 0
        || costWindowMillis < 0) {
      throw new IllegalArgumentException(
          "slot allocator policy: stallMillis "
              + stallMillis
              + " must be at least 1, backlogMillis "
              + backlogMillis
              + ", lateMillis "
              + lateMillis
              + ", retryAfterMillis "
              + retryAfterMillis
              + " and costWindowMillis "
              + costWindowMillis
              + " at least 0");
    }
    if (!admission.equals(ARRIVAL) && !admission.equals(FIRST_ATTEMPT)) {
      throw new IllegalArgumentException(
          "slot allocator policy: admission "
              + admission
              + " must be "
              + ARRIVAL
              + " or "
              + FIRST_ATTEMPT);
    }
    if (!(memoryShare > 0 && memoryShare <= 1)) {
      throw new IllegalArgumentException(
          "slot allocator policy: memoryShare " + memoryShare + " must be above 0 and at most 1");
    }
    if (!(coldOverage >= 0 && coldSlack >= 0) || coldOverage + coldSlack > MAXIMUM_COLD) {
      throw new IllegalArgumentException(
          "slot allocator policy: coldOverage "
              + coldOverage
              + " and coldSlack "
              + coldSlack
              + " must be at least 0 and their sum at most "
              + MAXIMUM_COLD);
    }
  }

  /** Returns this policy with another window for costs, in milliseconds. */
  public SlotAllocatorPolicy withCostWindow(long millis) {
    return new SlotAllocatorPolicy(
        backlogMillis,
        memoryShare,
        stallMillis,
        lateMillis,
        retryAfterMillis,
        millis,
        coldOverage,
        coldSlack,
        evenLoad,
        admission);
  }

  /** Returns this policy with a limit of the requests to cold upstreams. */
  public SlotAllocatorPolicy withColdLimit(double overage, double slack) {
    return new SlotAllocatorPolicy(
        backlogMillis,
        memoryShare,
        stallMillis,
        lateMillis,
        retryAfterMillis,
        costWindowMillis,
        overage,
        slack,
        evenLoad,
        admission);
  }

  /** Returns this policy with the estimate of load for all upstreams. */
  public SlotAllocatorPolicy withEvenLoad() {
    return new SlotAllocatorPolicy(
        backlogMillis,
        memoryShare,
        stallMillis,
        lateMillis,
        retryAfterMillis,
        costWindowMillis,
        coldOverage,
        coldSlack,
        true,
        admission);
  }

  /** Returns this policy with another start of the objective of requests. */
  public SlotAllocatorPolicy withAdmission(String newAdmission) {
    return new SlotAllocatorPolicy(
        backlogMillis,
        memoryShare,
        stallMillis,
        lateMillis,
        retryAfterMillis,
        costWindowMillis,
        coldOverage,
        coldSlack,
        evenLoad,
        newAdmission);
  }

  /** Returns whether the objective of a request counts from the caller's first attempt. */
  public boolean countsFromFirstAttempt() {
    return admission.equals(FIRST_ATTEMPT);
  }
}
