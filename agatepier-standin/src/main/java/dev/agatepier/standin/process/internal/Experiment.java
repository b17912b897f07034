package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.CostAggregatorPolicy;
import dev.agatepier.core.process.FairnessBound;
import dev.agatepier.core.process.SidecarPolicy;
import dev.agatepier.core.version.ServiceKind;
import dev.agatepier.standin.process.Endpoint;
import dev.agatepier.standin.process.FleetNode;
import dev.agatepier.standin.process.ProcessFleet;
import dev.agatepier.standin.process.RegionalFleet;
import dev.agatepier.standin.process.RegionalLayout;
import dev.agatepier.standin.process.ServiceCaller;
import dev.agatepier.standin.request.PlannedCall;
import dev.agatepier.standin.version.TrialWorkspace;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Duration;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * A load with a fixed seed on a whole fleet of processes, measured until the planned start of the
 * last call.
 *
 * @param policy name of the policy
 * @param layout layout of the fleet
 * @param seconds length of the load, in seconds
 * @param seed seed of the load
 */
record Experiment(String policy, RegionalLayout layout, double seconds, long seed) {

  /** Interval between two ticks of a process, in milliseconds. */
  private static final int TICK_MILLIS = 50;

  /**
   * Number of processes that forward a cost report, each after up to one send interval and one
   * tick: the sidecar and two cost aggregators.
   */
  private static final int REPORT_STAGES = 3;

  private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(20);

  /** Starts the fleet, runs the load and stops the fleet. */
  ExperimentReport run(ProcessFleet processes) {
    try {
      processes.start().join();
      RegionalFleet fleet = new RegionalFleet(processes, layout);
      fleet.start().join();
      return measure(processes, fleet);
    } finally {
      processes.stop().join();
    }
  }

  private ExperimentReport measure(ProcessFleet processes, RegionalFleet fleet) {
    List<Endpoint> routers = fleet.nodes(Role.ROUTER).stream().map(FleetNode::front).toList();
    List<PlannedCall> plan = LoadPlan.create(layout.scenario(), routers.size(), seconds, seed);
    List<String> workspaces =
        layout.scenario().workspaces().stream().map(TrialWorkspace::name).toList();
    ServiceCaller caller =
        new ServiceCaller(processes.caller(), TIMEOUT_MARGIN.plusSeconds(layout.deadlineSeconds()));
    try (TaskScheduler scheduler = new TaskScheduler("experiment")) {
      FleetSampler sampler =
          new FleetSampler(
              processes.caller(),
              fleet.nodes().stream().map(FleetNode::administration).toList(),
              readAdministrationKey(processes),
              scheduler);
      var before = FleetMeasures.controlBytesByMessageClass(sampler.metrics().join());
      sampler.start();
      LoadStatistics.Result result =
          LoadRun.start(plan, routers, caller, scheduler, new LoadStatistics(workspaces)).join();
      List<JsonNode> metrics = sampler.metrics().join();
      SortedMap<String, FleetMeasures.ControlBytes> controlBytes = new TreeMap<>();
      FleetMeasures.controlBytesByMessageClass(metrics)
          .forEach(
              (messageClass, bytes) ->
                  controlBytes.put(
                      messageClass,
                      bytes.since(
                          before.getOrDefault(
                              messageClass, new FleetMeasures.ControlBytes(0, 0)))));
      return report(plan, result, sampler.stop(), controlBytes);
    }
  }

  private ExperimentReport report(
      List<PlannedCall> plan,
      LoadStatistics.Result result,
      List<FleetSampler.Sample> allSamples,
      SortedMap<String, FleetMeasures.ControlBytes> controlBytes) {
    long lastMillis = Math.round(seconds * TimeUnit.SECONDS.toMillis(1));
    List<FleetSampler.Sample> samples =
        allSamples.stream().filter(sample -> sample.atMillis() <= lastMillis).toList();
    var services = FleetMeasures.of(samples);
    SortedMap<String, FairnessBound> bounds = new TreeMap<>();
    services.forEach((service, measures) -> bounds.put(service, bound(service, plan, measures)));
    FleetMeasures.ControlBytes totalControlBytes =
        controlBytes.values().stream()
            .reduce(new FleetMeasures.ControlBytes(0, 0), FleetMeasures.ControlBytes::plus);
    LoadReport load =
        new LoadReport(
            layout.scenario().name(), seed, seconds, result, services, totalControlBytes);
    List<Long> millis = samples.stream().map(FleetSampler.Sample::atMillis).toList();
    return new ExperimentReport(policy, load, bounds, controlBytes, millis);
  }

  /**
   * Returns the fairness bound for the largest planned cost, the offered slots and the measured
   * cost rate.
   */
  private FairnessBound bound(
      String service, List<PlannedCall> plan, FleetMeasures.ServiceMeasures measures) {
    double largest =
        plan.stream()
            .map(PlannedCall::call)
            .filter(call -> call.service().equals(service))
            .filter(call -> call.kind() == ServiceKind.MODEL)
            .mapToLong(call -> call.cost())
            .max()
            .orElse(0);
    long intervals =
        SidecarPolicy.DEFAULT.reportMillis()
            + 2 * CostAggregatorPolicy.DEFAULT.sendIntervalMillis();
    long links = 2 * layout.withinMillis() + layout.acrossMillis();
    double exchangeMillis = intervals + REPORT_STAGES * TICK_MILLIS + links;
    return new FairnessBound(
        largest,
        (int) measures.slots(),
        exchangeMillis / TimeUnit.SECONDS.toMillis(1),
        measures.costPerSecond());
  }

  private static String readAdministrationKey(ProcessFleet processes) {
    try {
      return Files.readString(processes.keyFile()).strip();
    } catch (IOException failure) {
      throw new IllegalStateException(
          "cannot read the administration key " + processes.keyFile(), failure);
    }
  }
}
