package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.AllowedRegions;
import dev.agatepier.core.version.DataCentreRegions;
import java.util.List;

/**
 * What a request requires of the upstream that runs it.
 *
 * @param regions regions in which it may be processed
 * @param softwareVersion software version that the upstream must have; empty if any may run it
 */
record UpstreamRequirements(AllowedRegions regions, String softwareVersion) {

  /** Every upstream may run the request. */
  static final UpstreamRequirements NONE = new UpstreamRequirements(AllowedRegions.ALL, "");

  private static final AllowedRegions NO_REGION = AllowedRegions.only(List.of());

  /** Returns the requirements; allocates nothing if every upstream may run the request. */
  static UpstreamRequirements of(AllowedRegions regions, String softwareVersion) {
    return regions.all() && softwareVersion.isEmpty()
        ? NONE
        : new UpstreamRequirements(regions, softwareVersion);
  }

  /** Returns whether every upstream may run the request. */
  boolean none() {
    return softwareVersion.isEmpty() && regions.all();
  }

  /** Returns whether upstreams of a data centre with a software version may run the request. */
  boolean permits(DataCentreRegions dataCentres, String dataCentre, String version) {
    return (softwareVersion.isEmpty() || softwareVersion.equals(version))
        && dataCentres.permits(regions, dataCentre);
  }

  /** Returns the requirements of an upstream that may run both requests. */
  UpstreamRequirements and(UpstreamRequirements other) {
    if (softwareVersion.isEmpty()) {
      return of(regions.and(other.regions), other.softwareVersion);
    }
    boolean conflict =
        !other.softwareVersion.isEmpty() && !softwareVersion.equals(other.softwareVersion);
    return of(conflict ? NO_REGION : regions.and(other.regions), softwareVersion);
  }
}
