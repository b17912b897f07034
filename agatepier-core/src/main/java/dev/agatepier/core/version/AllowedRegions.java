package dev.agatepier.core.version;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Regions in which requests may be processed.
 *
 * @param all whether every region is permitted, also an unknown one
 * @param names names of the permitted regions; empty if all are permitted
 */
public record AllowedRegions(boolean all, Set<String> names) {

  /** Permits every region. */
  public static final AllowedRegions ALL = new AllowedRegions(true, Set.of());

  /** Copies the names; rejects names beside the permission of all regions. */
  public AllowedRegions {
    names = Set.copyOf(names);
    if (all && !names.isEmpty()) {
      throw new IllegalArgumentException("names " + names + " are listed although all is set");
    }
  }

  /** Permits the given regions only; no region if there are no names. */
  public static AllowedRegions only(Collection<String> names) {
    return new AllowedRegions(false, Set.copyOf(names));
  }

  /** Returns whether a region is permitted. */
  public boolean permits(String region) {
    return all || names.contains(region);
  }

  /** Returns the regions that are permitted by both. */
  public AllowedRegions and(AllowedRegions other) {
    if (all) {
      return other;
    }
    if (other.all || names.equals(other.names)) {
      return this;
    }
    Set<String> common = new HashSet<>(names);
    common.retainAll(other.names);
    return only(common);
  }
}
