package dev.agatepier.standin.process.internal;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.Test;

public class FleetMeasuresTest {

  @Test
  public void gapAndUtilisationAreMeasuredWhileRequestsWait() {
    var measures =
        FleetMeasures.of(
                List.of(sample(0, 1, 1, 0, 0), sample(1, 1, 1, 40, 10), sample(2, 0, 0, 90, 10)))
            .get("model");
    assertEquals(measures.samples(), 2);
    assertEquals(measures.utilisation(), 0.75);
    assertEquals(measures.gaps(), List.of(0.0, 10.0, 0.0));
    assertEquals(measures.imbalances(), List.of(0.0, 10.0 / 1.5, 0.0));
    assertEquals(measures.costPerSecond(), 50_000.0);
  }

  @Test
  public void controlBytesAreSentBytesWithoutPayload() {
    JsonNode metrics =
        json(
            """
            {"gauges":{"links.sent.demand.within":5,"links.sent.cost.across":7,
             "links.sent.payload.across":900,"links.received.cost.across":7,"platform.reads":3}}
            """);
    assertEquals(
        FleetMeasures.controlBytes(List.of(metrics, metrics)),
        new FleetMeasures.ControlBytes(10, 14));
  }

  /**
   * Returns the status of a router with two workspaces and of a sidecar with 3 of 4 slots in use.
   */
  private static FleetSampler.Sample sample(
      long at, int firstWaiting, int secondWaiting, int firstCost, int secondCost) {
    String router =
        """
        {"service":"","snapshot":{"queues":[
         {"workspace":"a","service":"model","waiting":%d,"oldestWaitMillis":1000},
         {"workspace":"b","service":"model","waiting":%d,"oldestWaitMillis":1000}]}}
        """
            .formatted(firstWaiting, secondWaiting);
    String sidecar =
        """
        {"service":"model","snapshot":{"slots":4,"running":3,"shares":[
         {"workspace":"a","weight":2.0,"localCost":%d},
         {"workspace":"b","weight":1.0,"localCost":%d}]}}
        """
            .formatted(firstCost, secondCost);
    return new FleetSampler.Sample(at, List.of(json(router), json(sidecar)));
  }

  private static JsonNode json(String text) {
    return Json.read(text.getBytes(StandardCharsets.UTF_8), JsonNode.class);
  }
}
