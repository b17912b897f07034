package dev.agatepier.core.version;

import java.util.List;

/**
 * One version of the platform's list of live and leaving instances. It lags behind reality.
 *
 * @param version version of the list
 * @param instances the instances
 */
public record InstanceList(long version, List<Instance> instances) {

  /** The list of a process that has not yet heard of any. */
  public static final InstanceList NONE = new InstanceList(0, List.of());

  /** Copies the instances. */
  public InstanceList {
    instances = List.copyOf(instances);
  }
}
