package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.Room;
import dev.agatepier.core.process.ServiceSlotsStatus;
import dev.agatepier.core.process.ServiceSlotsStatus.EstimateStatus;
import dev.agatepier.core.process.ServiceSlotsStatus.UpstreamStatus;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Gauges of the room for requests, and of the upstreams whose load a slot allocator estimates. */
final class UpstreamGauges {

  private UpstreamGauges() {}

  /** Returns the gauges by name; of upstreams, those whose estimate counts. */
  static Map<String, Object> of(List<ServiceSlotsStatus> services) {
    Map<String, Object> gauges = new HashMap<>();
    for (ServiceSlotsStatus service : services) {
      put(gauges, "room." + service.service() + ".", service.room());
      for (UpstreamStatus upstream : service.upstreams()) {
        upstream.estimate().ifPresent(estimate -> put(gauges, upstream, estimate));
      }
    }
    return gauges;
  }

  private static void put(Map<String, Object> gauges, String prefix, Room room) {
    if (room.parallelism() == 0) {
      return;
    }
    gauges.put(prefix + "slots", room.slots());
    gauges.put(prefix + "wait-millis", room.waitMillis());
    if (Double.isFinite(room.memoryTokens())) {
      gauges.put(prefix + "memory-tokens", room.memoryTokens());
    }
  }

  private static void put(
      Map<String, Object> gauges, UpstreamStatus upstream, EstimateStatus estimate) {
    String prefix = "upstream." + upstream.name() + ".";
    gauges.put(prefix + "running", upstream.running());
    gauges.put(prefix + "other-requests", estimate.otherRequests());
    gauges.put(prefix + "backlog-millis", upstream.backlogMillis());
    gauges.put(prefix + "pace-percent", estimate.pacePercent());
    gauges.put(prefix + "output-token-millis", estimate.outputTokenMillis());
    gauges.put(prefix + "start-error-millis", estimate.startErrorMillis());
    gauges.put(prefix + "start-bias-millis", estimate.startBiasMillis());
    estimate
        .statementAgeMillis()
        .ifPresent(age -> gauges.put(prefix + "statement-age-millis", age));
  }
}
