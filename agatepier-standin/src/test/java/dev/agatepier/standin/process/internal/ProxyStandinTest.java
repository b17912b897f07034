package dev.agatepier.standin.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.standin.process.Endpoint;
import dev.agatepier.standin.process.HttpCaller;
import dev.agatepier.standin.process.HttpResponse;
import dev.agatepier.standin.request.Digests;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ProxyStandinTest {

  private static final String ADDRESS = "127.0.4.1";
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final long SEED = 3;
  private static final int LARGE_BODY = 3_000_000;

  private final HttpCaller http = new HttpCaller();
  private final Endpoint listen = Endpoint.onFreePort(ADDRESS);
  private PlainStandin plain;
  private ProxyStandin proxy;

  @BeforeMethod
  public void start() throws Exception {
    plain = new PlainStandin(ADDRESS, 0, 1, 4, Optional.empty());
    await(plain.start());
    var settings = new ProxyRoute.Settings("one", listen, new Endpoint(ADDRESS, plain.port()));
    proxy = new ProxyStandin(List.of(settings), ADDRESS, 0, SEED);
    await(proxy.start());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws Exception {
    await(proxy.stop());
    await(plain.stop());
  }

  @Test
  public void largeBodyArrivesInOrderThroughDelayAndJitter() throws Exception {
    putFaults("{\"toTarget\":{\"delayMillis\":5,\"jitterMillis\":5}}");
    String body = "0123456789".repeat(LARGE_BODY / 10);
    HttpResponse response = await(call(body));
    assertTrue(response.body().contains(Digests.sha256(body)), "seed " + SEED);
    assertTrue(readCounts().path("toTarget").asLong() >= LARGE_BODY);
  }

  @Test
  public void frozenResponseArrivesAfterTheFreezeEnds() throws Exception {
    putFaults("{\"toCaller\":{\"freeze\":true}}");
    CompletableFuture<HttpResponse> response = call("{}");
    awaitServedRequest();
    assertFalse(response.isDone());
    putFaults("{}");
    assertEquals(await(response).status(), 200);
  }

  @Test
  public void swallowedResponseNeverArrivesAndCutFailsTheCall() throws Exception {
    putFaults("{\"routes\":[\"one\"],\"toCaller\":{\"swallow\":true}}");
    CompletableFuture<HttpResponse> response = call("{}");
    while (readCounts().path("swallowed").asLong() == 0) {
      Thread.yield();
    }
    putFaults("{}");
    assertEquals(await(call("{}")).status(), 200);
    assertFalse(response.isDone());
    putFaults("{\"cut\":true}");
    assertThrows(ExecutionException.class, () -> await(response));
  }

  @Test
  public void bodyAboveTheLimitIsRejected() throws Exception {
    assertEquals(await(call("x".repeat(17 << 20))).status(), 413);
  }

  @Test
  public void connectionIsResetWhileRefuseIsSet() throws Exception {
    putFaults("{\"refuse\":true}");
    assertThrows(ExecutionException.class, () -> await(call("{}")));
  }

  private CompletableFuture<HttpResponse> call(String body) {
    return http.call("POST", listen.httpUrl("/orders"), Map.of(), body, TIMEOUT);
  }

  private void putFaults(String json) throws Exception {
    String url = new Endpoint(ADDRESS, proxy.port()).httpUrl("/faults");
    assertEquals(await(http.call("POST", url, Map.of(), json, TIMEOUT)).status(), 200);
  }

  private JsonNode readCounts() throws Exception {
    HttpResponse response = await(http.get(new Endpoint(ADDRESS, proxy.port()).httpUrl("/counts")));
    return Json.read(response.body().getBytes(), JsonNode.class).get(0);
  }

  /** Polls the plain service directly, not through the proxy, until it has served a request. */
  private void awaitServedRequest() throws Exception {
    String url = new Endpoint(ADDRESS, plain.port()).httpUrl("/control/ran");
    while (!await(http.get(url)).body().contains("\"WHOLE\"")) {
      Thread.yield();
    }
  }

  private static <T> T await(CompletableFuture<T> future) throws Exception {
    return future.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }
}
