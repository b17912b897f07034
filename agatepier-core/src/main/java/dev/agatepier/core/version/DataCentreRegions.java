package dev.agatepier.core.version;

import java.util.Map;

/**
 * The regions of the data centres, from the settings.
 *
 * @param regions name of the region by name of the data centre
 */
public record DataCentreRegions(Map<String, String> regions) {

  /** No region is known. */
  public static final DataCentreRegions NONE = new DataCentreRegions(Map.of());

  /** Copies the table. */
  public DataCentreRegions {
    regions = Map.copyOf(regions);
  }

  /**
   * Returns whether a data centre is in a permitted region. If its region is unknown, it is
   * permitted only where all regions are.
   */
  public boolean permits(AllowedRegions allowed, String dataCentre) {
    if (allowed.all()) {
      return true;
    }
    String region = regions.get(dataCentre);
    return region != null && allowed.permits(region);
  }

  /** Returns whether any known data centre is in a permitted region. */
  public boolean permitsAny(AllowedRegions allowed) {
    return allowed.all() || regions.values().stream().anyMatch(allowed::permits);
  }
}
