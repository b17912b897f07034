package dev.agatepier.standin.process.internal;

import dev.agatepier.core.process.FairnessBound;
import java.util.List;
import java.util.SortedMap;

/**
 * Results of an experiment.
 *
 * @param policy name of the policy
 * @param load results of the calls, and measurements of each service
 * @param bounds fairness bound of each service, computed from the plan and the samples
 * @param controlBytes control bytes that the fleet sent during the load, by message class
 * @param sampleMillis time of each sample after the creation of the sampler, in milliseconds
 */
record ExperimentReport(
    String policy,
    LoadReport load,
    SortedMap<String, FairnessBound> bounds,
    SortedMap<String, FleetMeasures.ControlBytes> controlBytes,
    List<Long> sampleMillis) {

  /** Formats the report as tables of at most 80 columns. */
  String text() {
    StringBuilder text = new StringBuilder("policy %s, ".formatted(policy));
    text.append(load.text());
    text.append("%-10s %12s %12s%n".formatted("control", "within", "across"));
    controlBytes.forEach(
        (messageClass, bytes) ->
            text.append(
                "%-10s %12d %12d%n".formatted(messageClass, bytes.within(), bytes.across())));
    load.services().forEach((service, measures) -> text.append(fairness(service, measures)));
    return text.toString();
  }

  private String fairness(String service, FleetMeasures.ServiceMeasures measures) {
    double imbalance = measures.imbalances().stream().mapToDouble(each -> each).max().orElse(0);
    FairnessBound bound = bounds.get(service);
    return "%s: largest imbalance %.0f of bound %.0f (share %.3f), %d slots, %.0f cost/s%n"
        .formatted(
            service,
            imbalance,
            bound.unaccountedCost(),
            imbalance / bound.unaccountedCost(),
            measures.slots(),
            measures.costPerSecond());
  }
}
