package dev.agatepier.standin.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Objects;

/**
 * What a regional fleet consists of.
 *
 * @param scenario its data centres, services and workspaces
 * @param routersPerDataCentre routers in each data centre
 * @param engines model engines, spread evenly over the data centres
 * @param plainUpstreams upstreams of the plain service, spread evenly over the data centres
 * @param withinMillis one-way delay of links within a region, in milliseconds
 * @param acrossMillis one-way delay of links across regions, in milliseconds
 * @param deadlineSeconds deadline of both services, in seconds
 * @param engineArguments further arguments of the engine stand-ins
 * @param policy policy of its processes
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

  /** Checks that every part is present. */
  public RegionalLayout {
    Objects.requireNonNull(scenario, "scenario");
    Objects.requireNonNull(policy, "policy");
    engineArguments = List.copyOf(engineArguments);
  }

  /**
   * Settings of the policies of all routers and sidecars.
   *
   * @param router settings of each router's policy
   * @param sidecar settings of each sidecar's policy
   */
  public record Policy(ObjectNode router, ObjectNode sidecar) {

    /** Checks that both are present. */
    public Policy {
      Objects.requireNonNull(router, "router");
      Objects.requireNonNull(sidecar, "sidecar");
    }
  }
}
