package dev.agatepier.core.process;

/** Settings of a slot allocator in tests: the default values but for those that a test sets. */
public final class SlotAllocatorPolicyBuilder {

  private long backlogMillis = SlotAllocatorPolicy.DEFAULT.backlogMillis();
  private final double memoryShare = SlotAllocatorPolicy.DEFAULT.memoryShare();
  private long stallMillis = SlotAllocatorPolicy.DEFAULT.stallMillis();
  private final long lateMillis = SlotAllocatorPolicy.DEFAULT.lateMillis();
  private final long retryAfterMillis = SlotAllocatorPolicy.DEFAULT.retryAfterMillis();
  private long costWindowMillis = SlotAllocatorPolicy.DEFAULT.costWindowMillis();
  private double coldOverage = SlotAllocatorPolicy.DEFAULT.coldOverage();
  private double coldSlack = SlotAllocatorPolicy.DEFAULT.coldSlack();
  private boolean evenLoad = SlotAllocatorPolicy.DEFAULT.evenLoad();
  private String admission = SlotAllocatorPolicy.DEFAULT.admission();
  private String prefixHomes = SlotAllocatorPolicy.DEFAULT.prefixHomes();
  private boolean retryPromises = SlotAllocatorPolicy.DEFAULT.retryPromises();

  public SlotAllocatorPolicyBuilder backlogMillis(long millis) {
    backlogMillis = millis;
    return this;
  }

  public SlotAllocatorPolicyBuilder stallMillis(long millis) {
    stallMillis = millis;
    return this;
  }

  public SlotAllocatorPolicyBuilder costWindowMillis(long millis) {
    costWindowMillis = millis;
    return this;
  }

  /** Limits the requests to cold upstreams. */
  public SlotAllocatorPolicyBuilder coldLimit(double overage, double slack) {
    coldOverage = overage;
    coldSlack = slack;
    return this;
  }

  /** Estimates the load of all upstreams. */
  public SlotAllocatorPolicyBuilder evenLoad() {
    evenLoad = true;
    return this;
  }

  public SlotAllocatorPolicyBuilder admission(String newAdmission) {
    admission = newAdmission;
    return this;
  }

  public SlotAllocatorPolicyBuilder prefixHomes(String newPrefixHomes) {
    prefixHomes = newPrefixHomes;
    return this;
  }

  /** Promises capacity to rejected callers. */
  public SlotAllocatorPolicyBuilder retryPromises() {
    retryPromises = true;
    return this;
  }

  /** Returns the settings. */
  public SlotAllocatorPolicy build() {
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
        admission,
        prefixHomes,
        retryPromises);
  }
}
