package dev.agatepier.standin.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.agatepier.core.version.Instance;
import dev.agatepier.standin.process.internal.Json;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Client of the platform stand-in's control interface. */
public final class PlatformClient {

  /** Expected version that matches any current version. */
  public static final long ANY_VERSION = -1;

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final HttpCaller caller;
  private final Endpoint platform;

  /** Creates a client of the platform stand-in at an endpoint. */
  public PlatformClient(HttpCaller caller, Endpoint platform) {
    this.caller = caller;
    this.platform = platform;
  }

  /**
   * Publishes both CSV texts of the table and returns the new version. The future fails if the
   * current version is not the expected one, that is, on a concurrent change.
   */
  public CompletableFuture<Long> publishTable(long expected, String workspaces, String services) {
    String query = expected == ANY_VERSION ? "" : "?expect=" + expected;
    String body = Json.object().put("workspaces", workspaces).put("services", services).toString();
    return send("PUT", "/control/table" + query, body).thenApply(PlatformClient::version);
  }

  /** Publishes the instance list and returns its new version. */
  public CompletableFuture<Long> publishInstances(List<Instance> instances) {
    ObjectNode root = Json.object();
    ArrayNode entries = root.putArray("instances");
    for (Instance instance : instances) {
      entries
          .addObject()
          .put("name", instance.name())
          .put("role", instance.role().text())
          .put("address", instance.address())
          .put("port", instance.port())
          .put("administrationPort", instance.administrationPort())
          .put("dataCentre", instance.dataCentre())
          .put("region", instance.region())
          .put("service", instance.service())
          .put("leaving", instance.leaving());
    }
    return send("PUT", "/control/instances", root.toString()).thenApply(PlatformClient::version);
  }

  /** Replaces the injected faults by those of a JSON object. */
  public CompletableFuture<Void> putFaults(String faults) {
    return send("POST", "/control/faults", faults).thenApply(response -> null);
  }

  /** Returns the numbers of calls that the platform has received. */
  public CompletableFuture<JsonNode> counts() {
    return send("GET", "/control/counts", "");
  }

  private CompletableFuture<JsonNode> send(String method, String path, String body) {
    return caller
        .call(method, platform.httpUrl(path), Map.of(), body, TIMEOUT)
        .thenApply(
            response -> {
              if (!response.successful()) {
                throw new FleetException(
                    "platform responded with status "
                        + response.status()
                        + " to "
                        + method
                        + " "
                        + path
                        + ": "
                        + response.body());
              }
              return Json.read(response.body().getBytes(StandardCharsets.UTF_8), JsonNode.class);
            });
  }

  private static long version(JsonNode response) {
    return response.path("version").asLong();
  }
}
