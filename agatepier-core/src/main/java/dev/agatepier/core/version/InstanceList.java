package dev.agatepier.core.version;

import java.util.List;
import java.util.Set;

/**
 * One version of the platform's list of live and leaving instances. The list lags behind the actual
 * state of the instances.
 *
 * @param version version of the list
 * @param instances instances of the fleet
 * @param upstreams upstreams whose slots are allocated by routers
 * @param evacuated data centres that are evacuated: their upstreams get no requests
 * @param evacuatedRevision revision of the platform's store at which these were the evacuated data
 *     centres; 0 if they were never read. Instances and upstreams may be of another revision, since
 *     they are read separately
 */
public record InstanceList(
    long version,
    List<Instance> instances,
    List<Upstream> upstreams,
    Set<String> evacuated,
    long evacuatedRevision) {

  /** The list of a process that has not received any version yet. */
  public static final InstanceList NONE = new InstanceList(0, List.of());

  /** Creates a list without upstreams. */
  public InstanceList(long version, List<Instance> instances) {
    this(version, instances, List.of());
  }

  /** Creates a list without evacuated data centres. */
  public InstanceList(long version, List<Instance> instances, List<Upstream> upstreams) {
    this(version, instances, upstreams, Set.of(), 0);
  }

  /** Copies instances, upstreams and evacuated data centres. */
  public InstanceList {
    instances = List.copyOf(instances);
    upstreams = List.copyOf(upstreams);
    evacuated = Set.copyOf(evacuated);
  }

  /** Returns whether the data centre of an upstream is evacuated. */
  public boolean isEvacuated(Upstream upstream) {
    return evacuated.contains(upstream.dataCentre());
  }

  /**
   * Returns whether another list has the same instances and upstreams. Lists of one version may
   * have different ones: a router that replaces a peer's list gives its own the next version.
   */
  public boolean hasSameEntries(InstanceList other) {
    return instances.equals(other.instances) && upstreams.equals(other.upstreams);
  }

  /** Returns this list with the evacuated data centres of another one, if that knows newer ones. */
  public InstanceList withNewerEvacuations(InstanceList other) {
    return other.evacuatedRevision <= evacuatedRevision
        ? this
        : new InstanceList(version, instances, upstreams, other.evacuated, other.evacuatedRevision);
  }
}
