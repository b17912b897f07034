package dev.agatepier.standin.process.internal;

import java.util.List;
import java.util.function.IntFunction;

/**
 * Measures how the traffic, processor time and heap usage of a {@link SimulatedFleet} grow.
 *
 * @param name name on the command line
 * @param sizes sizes measured by default
 * @param target size to which the fit is extrapolated
 * @param fleet creates a fleet of a size
 */
record FleetSlope(String name, List<Integer> sizes, int target, IntFunction<SimulatedFleet> fleet)
    implements SlopeBenchmark {

  private static final int ROUTERS = 2;
  private static final int SIDECARS = 16;
  private static final int BACKLOGGED = 200;

  static FleetSlope workspacesKnown() {
    return new FleetSlope(
        "workspaces-known",
        List.of(2_300, 6_900, 13_800, 23_000),
        23_000,
        size -> new SimulatedFleet(ROUTERS, SIDECARS, size, BACKLOGGED));
  }

  static FleetSlope workspacesBacklogged() {
    return new FleetSlope(
        "workspaces-backlogged",
        List.of(100, 300, 900, 2_300),
        2_300,
        size -> new SimulatedFleet(ROUTERS, SIDECARS, 23_000, size));
  }

  static FleetSlope sidecarsPerService() {
    return new FleetSlope(
        "sidecars-per-service",
        List.of(8, 16, 32, 64),
        77,
        size -> new SimulatedFleet(ROUTERS, size, 2_000, BACKLOGGED));
  }

  static FleetSlope routers() {
    return new FleetSlope(
        "routers",
        List.of(2, 4, 8, 12),
        12,
        size -> new SimulatedFleet(size, SIDECARS, 2_000, BACKLOGGED));
  }

  @Override
  public List<SlopeMeasurement> measure(int size) {
    return fleet.apply(size).measure();
  }
}
