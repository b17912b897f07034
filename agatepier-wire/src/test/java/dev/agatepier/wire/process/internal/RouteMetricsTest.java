package dev.agatepier.wire.process.internal;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricFilter;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RouteMetricsTest {

  private final MetricRegistry registry = new MetricRegistry();
  private final RouteMetrics routes = new RouteMetrics(registry);

  @DataProvider
  public Object[][] results() {
    return new Object[][] {
      {Outcome.COMPLETED, Optional.empty(), "completed"},
      {Outcome.NOT_RUN, Optional.of(Reason.OVERLOADED), "rejected"},
      {Outcome.NOT_RUN, Optional.of(Reason.DEADLINE), "expired"},
      {Outcome.UNKNOWN, Optional.of(Reason.CALLER_GONE), "expired"},
      {Outcome.UNKNOWN, Optional.of(Reason.UPSTREAM_DIED), "failed"},
    };
  }

  @Test(dataProvider = "results")
  public void recordsSizeByResult(Outcome outcome, Optional<Reason> reason, String result) {
    String route = "draft-" + outcome + reason;
    routes.recordEnded(outcome, reason, metadata(route, 12_000));
    String name = "route." + route + ".size." + result;
    assertEquals(registry.getHistograms().get(name).getCount(), 1);
    assertEquals(registry.getHistograms().get(name).getSnapshot().getMax(), 12_031, 64);
  }

  @Test
  public void ignoresRequestsWithoutPrompt() {
    routes.recordEnded(Outcome.COMPLETED, Optional.empty(), metadata("orders", 0));
    assertEquals(registry.getHistograms(name("orders")).keySet(), Set.of());
  }

  @Test
  public void evictsHistogramsOfRouteUsedLeastRecently() {
    MetricRegistry bounded = new MetricRegistry();
    RouteMetrics metrics = new RouteMetrics(bounded);
    for (int number = 0; number <= RouteMetrics.MAXIMUM_ROUTES; number++) {
      metrics.recordEnded(Outcome.COMPLETED, Optional.empty(), metadata("route-" + number, 1));
    }
    assertEquals(bounded.getHistograms().size(), RouteMetrics.MAXIMUM_ROUTES);
    assertEquals(bounded.getHistograms(name("route-0.")).keySet(), Set.of());
    assertEquals(bounded.counter("routes.forgotten").getCount(), 1);
  }

  private static MetricFilter name(String part) {
    return (name, metric) -> name.contains(part);
  }

  private static RequestMetadata metadata(String route, long size) {
    return new RequestMetadata("howrah", "plan-model", route, size, 1, "engine-1", 0, 0, 0, 0, 1);
  }
}
