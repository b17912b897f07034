package dev.agatepier.standin.process;

import static org.testng.Assert.assertEquals;

import dev.agatepier.standin.request.CallOutcome;
import dev.agatepier.standin.request.CallResult;
import dev.agatepier.standin.request.ServiceCall;
import dev.agatepier.standin.version.TrialWorkspace;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerResponse;

/** Calls a hand-written fake router that sends one response of each kind. */
public class ServiceCallerTest {

  private static final TrialWorkspace WORKSPACE =
      new TrialWorkspace("strings", 1, 1, 1, List.of("chair-desk"));
  private static final ServiceCall CALL = ServiceCall.read("chair-desk", "/desks?row=1");

  private final HttpCaller http = new HttpCaller();
  private DisposableServer router;

  @BeforeClass
  public void start() {
    router =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                routes ->
                    routes.route(
                        request -> true,
                        (request, response) ->
                            request
                                        .requestHeaders()
                                        .get("Authorization")
                                        .equals("Bearer " + WORKSPACE.key())
                                    && request.uri().equals("/services/chair-desk/desks?row=1")
                                ? respond(request.requestHeaders().get("kind"), response)
                                : response.sendNotFound()))
            .bindNow();
  }

  @AfterClass
  public void stop() {
    http.stop().join();
    router.disposeNow();
  }

  @DataProvider
  public Object[][] responses() {
    return new Object[][] {
      {"whole", CallOutcome.COMPLETED, ""},
      {"wrong", CallOutcome.WRONG, "status 200"},
      {"unmarked", CallOutcome.UNMARKED, "status 200"},
      {"cut", CallOutcome.BROKEN, "PrematureCloseException"},
      {"refused", CallOutcome.NOT_RUN, "limit-waiting"},
      {"silent", CallOutcome.TIMED_OUT, "TimeoutException"},
    };
  }

  @Test(dataProvider = "responses")
  public void eachResponseIsClassified(String kind, CallOutcome outcome, String reason)
      throws Exception {
    CallResult result =
        new ServiceCaller(http, Duration.ofSeconds(kind.equals("silent") ? 1 : 20))
            .call(new Endpoint("127.0.0.1", router.port()), WORKSPACE, CALL, Map.of("kind", kind))
            .get(30, TimeUnit.SECONDS);
    assertEquals(result.outcome(), outcome);
    assertEquals(result.reason(), reason);
  }

  private static Mono<Void> respond(String kind, HttpServerResponse response) {
    return switch (kind) {
      case "whole" -> sendCompleted(response, CALL.expectedResponseBody());
      case "wrong" -> sendCompleted(response, "{}");
      case "unmarked" -> response.sendString(Mono.just(CALL.expectedResponseBody())).then();
      case "cut" ->
          response.sendString(Flux.concat(Mono.just("{"), closeConnection(response))).then();
      case "refused" ->
          response
              .status(429)
              .header("Agatepier-Outcome", "not-run")
              .sendString(Mono.just("{\"error\":{\"reason\":\"limit-waiting\"}}"))
              .then();
      default -> Mono.never();
    };
  }

  private static Mono<String> closeConnection(HttpServerResponse response) {
    return Mono.fromRunnable(() -> response.withConnection(c -> c.channel().close()))
        .then(Mono.never());
  }

  private static Mono<Void> sendCompleted(HttpServerResponse response, String body) {
    return response
        .header("Trailer", "Agatepier-Outcome")
        .trailerHeaders(trailers -> trailers.set("Agatepier-Outcome", "completed"))
        .sendString(Flux.just(body.substring(0, 1), body.substring(1)))
        .then();
  }
}
