package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Computes the measures of a fleet from samples of its processes' status. */
final class FleetMeasures {

  /**
   * Measures of one service.
   *
   * @param samples samples in which work of the service waited
   * @param utilisation running over slots in those samples; 0 where none waited
   * @param largestGap largest fairness gap, in cost per weight
   * @param gaps fairness gap of each sample
   */
  record ServiceMeasures(int samples, double utilisation, double largestGap, List<Double> gaps) {}

  /**
   * Control traffic between processes.
   *
   * @param within bytes within regions
   * @param across bytes across regions
   */
  record ControlBytes(long within, long across) {

    ControlBytes since(ControlBytes earlier) {
      return new ControlBytes(within - earlier.within, across - earlier.across);
    }
  }

  /** Start of the names of the gauges of bytes sent on links. */
  private static final String SENT = "links.sent.";

  private FleetMeasures() {}

  /** Returns the measures of each service. */
  static Map<String, ServiceMeasures> of(List<FleetSampler.Sample> samples) {
    Set<String> services = new HashSet<>();
    samples.forEach(
        sample ->
            sample.statuses().forEach(status -> services.add(status.path("service").asText(""))));
    services.remove("");
    Map<String, ServiceMeasures> measures = new TreeMap<>();
    services.forEach(service -> measures.put(service, measure(service, samples)));
    return measures;
  }

  /** Returns the control traffic that processes sent so far, by their metrics. */
  static ControlBytes controlBytes(List<JsonNode> metrics) {
    return new ControlBytes(sent(metrics, "within"), sent(metrics, "across"));
  }

  private static long sent(List<JsonNode> metrics, String distance) {
    return metrics.stream()
        .flatMap(each -> each.path("gauges").properties().stream())
        .filter(gauge -> gauge.getKey().startsWith(SENT) && gauge.getKey().endsWith(distance))
        .filter(gauge -> !gauge.getKey().startsWith(SENT + "payload."))
        .mapToLong(gauge -> gauge.getValue().asLong())
        .sum();
  }

  private static ServiceMeasures measure(String service, List<FleetSampler.Sample> samples) {
    FairnessGap gap = new FairnessGap();
    List<Double> gaps = samples.stream().map(each -> gap.sample(waiting(service, each))).toList();
    List<FleetSampler.Sample> busy =
        samples.stream().filter(each -> !waiting(service, each).isEmpty()).toList();
    long slots = busy.stream().mapToLong(each -> sum(service, each, "slots")).sum();
    long running = busy.stream().mapToLong(each -> sum(service, each, "running")).sum();
    return new ServiceMeasures(
        busy.size(),
        slots == 0 ? 0 : (double) running / slots,
        gaps.stream().mapToDouble(Double::doubleValue).max().orElse(0),
        gaps);
  }

  /** Returns the cost per weight of each workspace that has work of a service waiting. */
  private static Map<String, Double> waiting(String service, FleetSampler.Sample sample) {
    Set<String> waiting = new HashSet<>();
    Map<String, Double> costs = new HashMap<>();
    for (JsonNode status : sample.statuses()) {
      JsonNode snapshot = status.path("snapshot");
      for (JsonNode queue : snapshot.path("queues")) {
        if (queue.path("service").asText().equals(service) && queue.path("waiting").asInt() > 0) {
          waiting.add(queue.path("workspace").asText());
        }
      }
      if (status.path("service").asText().equals(service)) {
        snapshot.path("shares").forEach(share -> addCost(costs, share));
      }
    }
    Map<String, Double> result = new HashMap<>();
    waiting.forEach(name -> result.put(name, costs.getOrDefault(name, 0.0)));
    return result;
  }

  private static void addCost(Map<String, Double> costs, JsonNode share) {
    double weight = share.path("weight").asDouble(1);
    costs.merge(
        share.path("workspace").asText(), share.path("localCost").asDouble() / weight, Double::sum);
  }

  private static long sum(String service, FleetSampler.Sample sample, String field) {
    return sample.statuses().stream()
        .filter(status -> status.path("service").asText().equals(service))
        .mapToLong(status -> status.path("snapshot").path(field).asLong())
        .sum();
  }
}
