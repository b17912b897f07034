package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Computes measurements of a fleet from samples of the status of its processes. */
final class FleetMeasures {

  /**
   * Measurements of one service.
   *
   * @param samples samples in which requests for the service waited
   * @param utilisation slots in use divided by offered slots, over those samples; 0 if there are
   *     none
   * @param largestGap largest fairness gap, in cost per weight
   * @param gaps fairness gap of each sample, among backlogged workspaces
   * @param imbalances largest difference of a pair divided by the sum of the pair's inverse
   *     weights, for each sample, in cost units
   * @param slots maximum number of slots offered in a sample
   * @param costPerSecond mean cost received per second
   */
  record ServiceMeasures(
      int samples,
      double utilisation,
      double largestGap,
      List<Double> gaps,
      List<Double> imbalances,
      long slots,
      double costPerSecond) {}

  /**
   * A workspace counts as backlogged once its oldest request has waited this long. This is longer
   * than the time after which demand is also sent to other regions, so by then every sidecar that
   * is sent the demand has received it.
   */
  private static final long BACKLOG_MILLIS = 1_000;

  /**
   * Control traffic between processes.
   *
   * @param within bytes sent within regions
   * @param across bytes sent between regions
   */
  record ControlBytes(long within, long across) {

    ControlBytes plus(ControlBytes other) {
      return new ControlBytes(within + other.within, across + other.across);
    }

    ControlBytes since(ControlBytes earlier) {
      return new ControlBytes(within - earlier.within, across - earlier.across);
    }
  }

  /** Name prefix of the gauges that count the bytes sent on links. */
  private static final String SENT_PREFIX = "links.sent.";

  private FleetMeasures() {}

  /** Returns the measurements by service. */
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

  /** Returns the control traffic that the processes have sent so far, from their metrics. */
  static ControlBytes controlBytes(List<JsonNode> metrics) {
    Map<String, ControlBytes> byMessageClass = controlBytesByMessageClass(metrics);
    return new ControlBytes(
        byMessageClass.values().stream().mapToLong(ControlBytes::within).sum(),
        byMessageClass.values().stream().mapToLong(ControlBytes::across).sum());
  }

  /**
   * Returns the control traffic that the processes have sent so far by message class, such as
   * {@code demand}.
   */
  static SortedMap<String, ControlBytes> controlBytesByMessageClass(List<JsonNode> metrics) {
    SortedMap<String, ControlBytes> byMessageClass = new TreeMap<>();
    for (JsonNode each : metrics) {
      for (Map.Entry<String, JsonNode> gauge : each.path("gauges").properties()) {
        if (gauge.getKey().startsWith(SENT_PREFIX)) {
          String[] names = gauge.getKey().substring(SENT_PREFIX.length()).split("\\.");
          long bytes = gauge.getValue().asLong();
          boolean across = names[1].equals("across");
          ControlBytes sent = new ControlBytes(across ? 0 : bytes, across ? bytes : 0);
          byMessageClass.merge(names[0], sent, ControlBytes::plus);
        }
      }
    }
    byMessageClass.remove("payload");
    return byMessageClass;
  }

  private static ServiceMeasures measure(String service, List<FleetSampler.Sample> samples) {
    FairnessGap gap = new FairnessGap();
    ReceivedCosts costs = new ReceivedCosts();
    List<FairnessGap.Gap> gaps = new ArrayList<>();
    double firstTotal = 0;
    for (FleetSampler.Sample sample : samples) {
      sidecars(service, sample).forEach(costs::update);
      firstTotal = gaps.isEmpty() ? costs.total() : firstTotal;
      gaps.add(gap.sample(costs.byWorkspace(waiting(service, sample, BACKLOG_MILLIS))));
    }
    List<FleetSampler.Sample> busy =
        samples.stream().filter(each -> !waiting(service, each, 0).isEmpty()).toList();
    long slots = busy.stream().mapToLong(each -> sum(service, each, "slots")).sum();
    long running = busy.stream().mapToLong(each -> slotsInUse(service, each)).sum();
    return new ServiceMeasures(
        busy.size(),
        slots == 0 ? 0 : (double) running / slots,
        largest(gaps.stream().map(FairnessGap.Gap::perWeight).toList()),
        gaps.stream().map(FairnessGap.Gap::perWeight).toList(),
        gaps.stream().map(FairnessGap.Gap::imbalance).toList(),
        samples.stream().mapToLong(each -> sum(service, each, "slots")).max().orElse(0),
        seconds(samples) > 0 ? (costs.total() - firstTotal) / seconds(samples) : 0);
  }

  private static double seconds(List<FleetSampler.Sample> samples) {
    long millis = samples.getLast().atMillis() - samples.getFirst().atMillis();
    return (double) millis / TimeUnit.SECONDS.toMillis(1);
  }

  private static double largest(List<Double> values) {
    return values.stream().mapToDouble(Double::doubleValue).max().orElse(0);
  }

  /** Returns the workspaces whose oldest request for a service has waited for a minimum time. */
  private static Set<String> waiting(
      String service, FleetSampler.Sample sample, long minimumMillis) {
    Set<String> waiting = new HashSet<>();
    for (JsonNode status : sample.statuses()) {
      for (JsonNode queue : status.path("snapshot").path("queues")) {
        if (queue.path("service").asText().equals(service)
            && queue.path("waiting").asInt() > 0
            && queue.path("oldestWaitMillis").asLong() >= minimumMillis) {
          waiting.add(queue.path("workspace").asText());
        }
      }
    }
    return waiting;
  }

  private static List<JsonNode> sidecars(String service, FleetSampler.Sample sample) {
    return sample.statuses().stream()
        .filter(status -> status.path("service").asText().equals(service))
        .toList();
  }

  /**
   * Returns the slots in use; requests that still run above a lowered slot limit aren't counted.
   */
  private static long slotsInUse(String service, FleetSampler.Sample sample) {
    return sidecars(service, sample).stream()
        .map(status -> status.path("snapshot"))
        .mapToLong(each -> Math.min(each.path("running").asLong(), each.path("slots").asLong()))
        .sum();
  }

  private static long sum(String service, FleetSampler.Sample sample, String field) {
    return sidecars(service, sample).stream()
        .mapToLong(status -> status.path("snapshot").path(field).asLong())
        .sum();
  }
}
