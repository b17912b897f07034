package dev.agatepier.wire.process;

import static org.testng.Assert.assertTrue;

import dev.agatepier.wire.RawSocket;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class AdministrationListenerTest {

  private AdministrationListener listener;

  /** Response body of the test routes. */
  public record RouteBody(String name) {}

  @BeforeClass
  public void startListener() {
    listener =
        new AdministrationListener(
            new AdministrationSettings("127.0.0.1", 0, "key"),
            () -> new Readiness(false, "no table"),
            List.of(
                AdministrationRoute.get("/v1/status", () -> new RouteBody("all")),
                AdministrationRoute.of(
                    "POST",
                    "/v1/requests/{router}/{number}",
                    parameters ->
                        CompletableFuture.completedFuture(
                            new AdministrationResponse(
                                202, new RouteBody(parameters.get("number"))))),
                AdministrationRoute.of(
                    "GET",
                    "/v1/fails",
                    parameters ->
                        CompletableFuture.failedFuture(new IllegalStateException("test")))));
    listener.start().join();
  }

  @AfterClass(alwaysRun = true)
  public void stopListener() {
    listener.stop().join();
  }

  @DataProvider
  public Object[][] calls() {
    return new Object[][] {
      {"GET /health", "", 200, "{\"status\":\"up\"}"},
      {"GET /ready", "", 503, "{\"ready\":false,\"reason\":\"no table\"}"},
      {"GET /v1/status", "", 401, "{\"error\":"},
      {"GET /v1/status", "Bearer wrong", 401, "{\"error\":"},
      {"GET /v1/status", "Bearer key", 200, "{\"name\":\"all\"}"},
      {"GET /v1/status?a=b", "Bearer key", 200, "{\"name\":\"all\"}"},
      {"POST /v1/requests/a/7", "Bearer key", 202, "{\"name\":\"7\"}"},
      {"GET /v1/requests/a/7", "Bearer key", 404, "{\"error\":"},
      {"GET /v1/nothing", "", 401, "{\"error\":"},
      {"GET /v1/fails", "Bearer key", 500, "{\"error\":\"the call failed\"}"},
    };
  }

  @Test(dataProvider = "calls")
  public void respondsToEachCall(String call, String authorization, int status, String body) {
    try (RawSocket socket = RawSocket.connect(listener.port())) {
      socket.write(call + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n");
      socket.write("Authorization: " + authorization + "\r\n\r\n");
      String response = socket.readAll();
      assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
      assertTrue(response.contains("\r\n\r\n" + body), response);
    }
  }
}
