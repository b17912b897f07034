package dev.agatepier.standin.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Objects;

/**
 * Composition of a {@link RegionalFleet}.
 *
 * @param scenario data centres, services and workspaces
 * @param routersPerDataCentre number of routers in each data centre
 * @param engines number of model engines, spread evenly over the data centres
 * @param plainUpstreams number of upstreams of the plain service, spread evenly over the data
 *     centres
 * @param withinMillis one-way delay of links within a region, in milliseconds
 * @param acrossMillis one-way delay of links between regions, in milliseconds
 * @param deadlineSeconds deadline of both services, in seconds
 * @param engineArguments additional arguments of the engine stand-ins
 * @param policy policies of the routers and sidecars
 */
public record RegionalLayout(
    LoadScenario scenario,
    int routersPerDataCentre,
    int engines,
    int plainUpstreams,
    long withinMillis,
    long acrossMillis,
    int deadlineSeconds,
    List<String> engineArguments,
    Policy policy) {

  /** Rejects a null scenario or policy and copies the arguments. */
  public RegionalLayout {
    Objects.requireNonNull(scenario, "scenario");
    Objects.requireNonNull(policy, "policy");
    engineArguments = List.copyOf(engineArguments);
  }

  /**
   * Policy sections of the settings, common to all routers and to all sidecars.
   *
   * @param router policy of every router
   * @param sidecar policy of every sidecar
   */
  public record Policy(ObjectNode router, ObjectNode sidecar) {

    /** Rejects null components. */
    public Policy {
      Objects.requireNonNull(router, "router");
      Objects.requireNonNull(sidecar, "sidecar");
    }
  }
}
