package dev.agatepier.core.process;

import java.util.Set;

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
 * @param costWindowMillis period over which operators compare the service of workspaces, in
 *     milliseconds: older cost has little weight in the fair-queueing order; 0 if cost never loses
 *     weight
 * @param coldOverage factor of the rate that a cold upstream tolerates in the number of requests
 *     that it may get in a second; 0 if requests to cold upstreams are not limited
 * @param coldSlack requests that a cold upstream may get in a second in addition
 * @param evenLoad whether upstreams that do not state the pace of their machine are chosen by the
 *     estimate of their load as well
 * @param admission from when on the objective of a request counts: {@link #ARRIVAL}, {@link
 *     #FIRST_ATTEMPT} or {@link #VARYING_CAPACITY}
 * @param prefixHomes how many upstreams are homes of a prompt prefix: {@link #ONE_HOME} or {@link
 *     #HOMES_BY_LOAD}
 * @param retryPromises whether capacity is promised to rejected callers for the time at which they
 *     are to come back, where objectives count from the first attempt
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
    String admission,
    String prefixHomes,
    boolean retryPromises) {

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

  /**
   * As {@link #FIRST_ATTEMPT} for services whose capacity varies, since upstreams state their pace
   * or are cold at times; as {@link #ARRIVAL} for others.
   */
  public static final String VARYING_CAPACITY = "varying-capacity";

  /** Each prompt prefix has one home in the fleet, and none within a data centre. */
  public static final String ONE_HOME = "one";

  /**
   * Each prompt prefix has as many homes as its load needs, where the objective counts from the
   * caller's first attempt and capacity is measured; elsewhere as {@link #ONE_HOME}.
   */
  public static final String HOMES_BY_LOAD = "by-load";

  private static final Set<String> PREFIX_HOMES = Set.of(ONE_HOME, HOMES_BY_LOAD);

  private static final Set<String> ADMISSIONS = Set.of(ARRIVAL, FIRST_ATTEMPT, VARYING_CAPACITY);

  /** The default values. docs/decisions/0011 documents the experiments behind them. */
  public static final SlotAllocatorPolicy DEFAULT =
      new SlotAllocatorPolicy(80, 0.92, 1_500, 0, 1_000, 0, 0, 0, false, ARRIVAL, ONE_HOME, false);

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
    if (!ADMISSIONS.contains(admission)) {
      throw new IllegalArgumentException(
          "slot allocator policy: admission "
              + admission
              + " must be "
              + ARRIVAL
              + ", "
              + FIRST_ATTEMPT
              + " or "
              + VARYING_CAPACITY);
    }
    if (!PREFIX_HOMES.contains(prefixHomes)) {
      throw new IllegalArgumentException(
          "slot allocator policy: prefixHomes "
              + prefixHomes
              + " must be "
              + ONE_HOME
              + " or "
              + HOMES_BY_LOAD);
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

  /**
   * Returns whether the objectives of a service's requests count from the caller's first attempt.
   *
   * @param capacityVaries whether the capacity of the service varies
   */
  public boolean countsFromFirstAttempt(boolean capacityVaries) {
    return admission.equals(FIRST_ATTEMPT) || capacityVaries && admission.equals(VARYING_CAPACITY);
  }

  /** Returns whether prompt prefixes may have homes by load at any service. */
  public boolean mayHaveHomesByLoad() {
    return prefixHomes.equals(HOMES_BY_LOAD) && !admission.equals(ARRIVAL);
  }

  /**
   * Returns whether the prompt prefixes of a service have homes by load.
   *
   * @param capacityVaries whether the capacity of the service varies
   */
  public boolean hasHomesByLoad(boolean capacityVaries) {
    return prefixHomes.equals(HOMES_BY_LOAD) && countsFromFirstAttempt(capacityVaries);
  }
}
