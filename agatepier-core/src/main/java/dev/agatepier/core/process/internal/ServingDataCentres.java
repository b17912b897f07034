package dev.agatepier.core.process.internal;

import java.util.Set;

/**
 * The data centres in which a request can get a slot now.
 *
 * @param all whether nothing restricts them, so that it may wait in any one
 * @param names names of the data centres; empty if nothing restricts them
 */
record ServingDataCentres(boolean all, Set<String> names) {

  /** Nothing restricts the data centres. */
  static final ServingDataCentres ALL = new ServingDataCentres(true, Set.of());

  ServingDataCentres {
    names = Set.copyOf(names);
  }

  boolean contains(String dataCentre) {
    return all || names.contains(dataCentre);
  }

  /** Returns whether the request can get a slot nowhere. */
  boolean none() {
    return !all && names.isEmpty();
  }
}
