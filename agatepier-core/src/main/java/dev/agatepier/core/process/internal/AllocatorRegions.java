package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.AllowedRegions;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.Table;

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
    entry.allowedRegions = allowed;
  }

  boolean permits(WaitingEntry entry, UpstreamLoad upstream) {
    return permits(entry.allowedRegions, upstream.upstream.dataCentre());
  }

  boolean permits(AllowedRegions allowed, String dataCentre) {
    return dataCentres.permits(allowed, dataCentre);
  }
}
