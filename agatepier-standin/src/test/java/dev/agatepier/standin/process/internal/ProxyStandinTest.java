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
    var way = new ProxyRoute.Settings("one", listen, new Endpoint(ADDRESS, plain.port()));
    proxy = new ProxyStandin(List.of(way), ADDRESS, 0, SEED);
    await(proxy.start());
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws Exception {
    await(proxy.stop());
    await(plain.stop());
  }

  @Test
  public void largeBodyArrivesInOrderThroughDelayAndJitter() throws Exception {
    faults("{\"toTarget\":{\"delayMillis\":5,\"jitterMillis\":5}}");
    String body = "0123456789".repeat(LARGE_BODY / 10);
    HttpResponse answer = await(call(body));
    assertTrue(answer.body().contains(Digests.sha256(body)), "seed " + SEED);
    assertTrue(counts().path("toTarget").asLong() >= LARGE_BODY);
  }

  @Test
  public void frozenAnswerArrivesAfterTheFreeze() throws Exception {
    faults("{\"toCaller\":{\"freeze\":true}}");
    CompletableFuture<HttpResponse> answer = call("{}");
    untilRan();
    assertFalse(answer.isDone());
    faults("{}");
    assertEquals(await(answer).status(), 200);
  }

  @Test
  public void swallowedAnswerNeverArrivesAndCutBreaksTheCall() throws Exception {
    faults("{\"routes\":[\"one\"],\"toCaller\":{\"swallow\":true}}");
    CompletableFuture<HttpResponse> answer = call("{}");
    while (counts().path("swallowed").asLong() == 0) {
      Thread.yield();
    }
    faults("{}");
    assertEquals(await(call("{}")).status(), 200);
    assertFalse(answer.isDone());
    faults("{\"cut\":true}");
    assertThrows(ExecutionException.class, () -> await(answer));
  }

  @Test
  public void bodyAboveTheBoundIsRefused() throws Exception {
    assertEquals(await(call("x".repeat(17 << 20))).status(), 413);
  }

  @Test
  public void refusedConnectionIsReset() throws Exception {
    faults("{\"refuse\":true}");
    assertThrows(ExecutionException.class, () -> await(call("{}")));
  }

  private CompletableFuture<HttpResponse> call(String body) {
    return http.call("POST", listen.httpUrl("/orders"), Map.of(), body, TIMEOUT);
  }

  private void faults(String json) throws Exception {
    String address = new Endpoint(ADDRESS, proxy.port()).httpUrl("/faults");
    assertEquals(await(http.call("POST", address, Map.of(), json, TIMEOUT)).status(), 200);
  }

  private JsonNode counts() throws Exception {
    HttpResponse answer = await(http.get(new Endpoint(ADDRESS, proxy.port()).httpUrl("/counts")));
    return Json.read(answer.body().getBytes(), JsonNode.class).get(0);
  }

  /** Waits until the plain service has served a request, without the proxy. */
  private void untilRan() throws Exception {
    String address = new Endpoint(ADDRESS, plain.port()).httpUrl("/control/ran");
    while (!await(http.get(address)).body().contains("\"WHOLE\"")) {
      Thread.yield();
    }
  }

  private static <T> T await(CompletableFuture<T> future) throws Exception {
    return future.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
  }
}
