package dev.agatepier.core.version;

import java.util.List;

/**
 * One version of the platform's list of live and leaving instances. The list lags behind the actual
 * state of the instances.
 *
 * @param version version of the list
 * @param instances instances of the fleet
 * @param upstreams upstreams whose slots are allocated by routers
 */
public record InstanceList(long version, List<Instance> instances, List<Upstream> upstreams) {

  /** The list of a process that has not received any version yet. */
  public static final InstanceList NONE = new InstanceList(0, List.of());

  /** Creates a list without upstreams. */
  public InstanceList(long version, List<Instance> instances) {
    this(version, instances, List.of());
  }

  /** Copies instances and upstreams. */
  public InstanceList {
    instances = List.copyOf(instances);
    upstreams = List.copyOf(upstreams);
  }
}
