package dev.agatepier.standin.process.internal;

import dev.agatepier.core.process.FairnessBound;
import java.util.List;
import java.util.SortedMap;

/**
 * What an experiment reports.
 *
 * @param policy name of the policy
 * @param load what callers saw, and the measures of each service
 * @param bounds fairness bound of each service, from the plan and the samples
 * @param controlBytes control bytes that the fleet sent meanwhile, by kind
 * @param sampleMillis when each sample was taken, in milliseconds
 */
record ExperimentReport(
    String policy,
    LoadReport load,
    SortedMap<String, FairnessBound> bounds,
    SortedMap<String, FleetMeasures.ControlBytes> controlBytes,
    List<Long> sampleMillis) {

  /** Returns tables of at most 80 columns. */
  String text() {
    StringBuilder text = new StringBuilder("policy %s, ".formatted(policy));
    text.append(load.text());
    text.append("%-10s %12s %12s%n".formatted("control", "within", "across"));
    controlBytes.forEach(
        (kind, bytes) ->
            text.append("%-10s %12d %12d%n".formatted(kind, bytes.within(), bytes.across())));
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
