package dev.agatepier.standin.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import dev.agatepier.standin.process.Endpoint;
import dev.agatepier.standin.process.HttpCaller;
import dev.agatepier.standin.process.LoadScenario;
import dev.agatepier.standin.process.ServiceCaller;
import dev.agatepier.standin.request.CallOutcome;
import dev.agatepier.standin.request.ModelCall;
import dev.agatepier.standin.request.PlainCall;
import dev.agatepier.standin.request.PlannedCall;
import dev.agatepier.standin.version.TrialWorkspace;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.reactivestreams.Publisher;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

public class LoadRunTest {

  private static final LoadScenario SCENARIO = LoadScenario.tanpura();
  private static final long SEED = 5;

  @Test
  public void planIsDeterminedByTheSeed() {
    assertEquals(plan(SEED), plan(SEED));
    assertNotEquals(plan(SEED), plan(SEED + 1));
  }

  @Test
  public void everyPlannedCallIsCountedByOutcome() throws Exception {
    DisposableServer router =
        HttpServer.create().host("127.0.0.1").port(0).handle(LoadRunTest::respond).bindNow();
    HttpCaller http = new HttpCaller();
    List<String> workspaceNames = SCENARIO.workspaces().stream().map(TrialWorkspace::name).toList();
    List<PlannedCall> plan = plan(SEED);
    try (TaskScheduler scheduler = new TaskScheduler("load-test")) {
      LoadStatistics.Result result =
          LoadRun.start(
                  plan,
                  List.of(new Endpoint("127.0.0.1", router.port())),
                  new ServiceCaller(http, Duration.ofSeconds(30)),
                  scheduler,
                  new LoadStatistics(workspaceNames))
              .get(60, TimeUnit.SECONDS);
      long orders = plan.stream().filter(each -> each.call().path().equals("/orders")).count();
      assertEquals(
          result.outcomes(),
          Map.of(CallOutcome.COMPLETED, plan.size() - orders, CallOutcome.UNMARKED, orders),
          "seed " + SEED);
    } finally {
      http.stop().join();
      router.disposeNow();
    }
  }

  @Test
  public void gapGrowsOnlyWhileBothWorkspacesWait() {
    FairnessGap gap = new FairnessGap();
    assertEquals(gap.sample(received(10, 0)), new FairnessGap.Gap(0, 0));
    assertEquals(gap.sample(received(14, 1)), new FairnessGap.Gap(3, 2));
    assertEquals(gap.sample(received(15, 4)), new FairnessGap.Gap(1, 2.0 / 3));
    assertEquals(gap.sample(Map.of("a", new FairnessGap.Received(90, 1))).perWeight(), 0.0);
    assertEquals(gap.sample(received(95, 4)), new FairnessGap.Gap(0, 0));
  }

  /** Returns received costs per weight of two workspaces with weights 1 and 2. */
  private static Map<String, FairnessGap.Received> received(double first, double second) {
    return Map.of(
        "a", new FairnessGap.Received(first, 1), "b", new FairnessGap.Received(second, 2));
  }

  private static List<PlannedCall> plan(long seed) {
    return LoadPlan.create(SCENARIO, 1, 1, seed);
  }

  /** Fake router: sends the responses of the upstreams, but no outcome header for orders. */
  private static Publisher<Void> respond(HttpServerRequest request, HttpServerResponse response) {
    String path = request.uri().replaceFirst("/services/[^/]+", "");
    return StandinHttpServer.withBody(
        request,
        response,
        body -> {
          String responseBody =
              path.startsWith("/v1/")
                  ? ModelCall.parse(body).responseBody()
                  : PlainCall.of(request.method().name(), path, body).responseBody();
          if (!path.equals("/orders")) {
            response.header("Agatepier-Outcome", "completed");
          }
          return response.sendString(Mono.just(responseBody));
        });
  }
}
