package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.AllowedRegions;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;

/** The regions in which the requests that wait at a slot allocator may be processed. */
public final class AllocatorRegions {

  private final DataCentreRegions dataCentres;
  private RegionLists lists = RegionLists.NONE;

  /** Creates the regions without a table. */
  public AllocatorRegions(DataCentreRegions dataCentres) {
    this.dataCentres = dataCentres;
  }

  /** Applies the lists of a table version. */
  public void activate(Table table) {
    lists = new RegionLists(table);
  }

  /**
   * Sets the regions of a request: those that its router reported, and those of the active table if
   * this is newer than the router's.
   */
  void update(WaitingEntry entry) {
    AllowedRegions allowed = entry.call.allowedRegions();
    if (lists.restricted() && lists.version() > entry.tableVersion) {
      allowed =
          allowed
              .and(lists.ofRoute(entry.call.route(), AllowedRegions.ALL))
              .and(lists.ofWorkspace(entry.workspace(), AllowedRegions.ALL));
    }
    entry.requirements = UpstreamRequirements.of(allowed, entry.call.softwareVersion());
  }

  boolean permits(UpstreamRequirements requirements, Upstream upstream) {
    return requirements.permits(dataCentres, upstream.dataCentre(), upstream.softwareVersion());
  }

  boolean permits(UpstreamRequirements requirements, UpstreamPlace place) {
    return requirements.permits(dataCentres, place.dataCentre(), place.softwareVersion());
  }
}
