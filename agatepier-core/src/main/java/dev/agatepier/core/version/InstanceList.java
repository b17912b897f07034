package dev.agatepier.core.version;

import java.util.List;

/**
 * One version of the platform's list of live and leaving instances. It lags behind reality.
 *
 * @param version version of the list
 * @param instances the fleet's instances
 * @param upstreams upstreams whose slots routers keep
 */
public record InstanceList(long version, List<Instance> instances, List<Upstream> upstreams) {

  /** The list of a process that has not yet heard of any. */
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
