package dev.agatepier.standin.process.internal;

import dev.agatepier.core.connection.Role;
import dev.agatepier.core.version.Instance;
import java.util.ArrayList;
import java.util.List;

/** Generates instance lists with the mix of routers, services and data centres of a large fleet. */
final class FleetInstances {

  static final int DATA_CENTRES = 31;

  private static final int REGIONS = 8;
  private static final int SERVICES = 5;
  private static final int SIDECARS_PER_ROUTER = 32;
  private static final int LINK_PORT = 7_000;
  private static final int ADMINISTRATION_PORT = 7_001;

  private FleetInstances() {}

  /** Returns a list of {@code size} instances, of which one in 33 is a router. */
  static List<Instance> list(int size) {
    List<Instance> instances = new ArrayList<>();
    int routers = Math.max(1, size / (SIDECARS_PER_ROUTER + 1));
    for (int index = 0; index < size; index++) {
      boolean router = index < routers;
      int number = router ? index : index - routers;
      int dataCentre = number % DATA_CENTRES;
      instances.add(
          new Instance(
              (router ? "router-" : "sidecar-") + "%05d".formatted(number),
              router ? Role.ROUTER : Role.SIDECAR,
              "10.%d.%d.%d".formatted(dataCentre, number / 250, number % 250),
              LINK_PORT,
              ADMINISTRATION_PORT,
              "data-centre-" + dataCentre,
              "region-" + dataCentre % REGIONS,
              router ? "" : "service-" + number / DATA_CENTRES % SERVICES,
              false));
    }
    return instances;
  }
}
