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

/** Publishes through the control calls of the platform stand-in. */
public final class PlatformClient {

  /** Expects no certain version before a change. */
  public static final long ANY_VERSION = -1;

  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private final HttpCaller caller;
  private final Endpoint platform;

  /** Creates a client of a platform. */
  public PlatformClient(HttpCaller caller, Endpoint platform) {
    this.caller = caller;
    this.platform = platform;
  }

  /** Publishes both texts of the table and returns the new version; fails at a lost race. */
  public CompletableFuture<Long> publishTable(long expected, String workspaces, String services) {
    String query = expected == ANY_VERSION ? "" : "?expect=" + expected;
    String body = Json.object().put("workspaces", workspaces).put("services", services).toString();
    return send("PUT", "/control/table" + query, body).thenApply(PlatformClient::version);
  }

  /** Publishes the instance list and returns its version. */
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

  /** Replaces the faults, given as the JSON of the control call. */
  public CompletableFuture<Void> putFaults(String faults) {
    return send("POST", "/control/faults", faults).thenApply(answer -> null);
  }

  /** Returns the counts of calls. */
  public CompletableFuture<JsonNode> counts() {
    return send("GET", "/control/counts", "");
  }

  private CompletableFuture<JsonNode> send(String method, String path, String body) {
    return caller
        .call(method, platform.httpUrl(path), Map.of(), body, TIMEOUT)
        .thenApply(
            answer -> {
              if (!answer.successful()) {
                throw new FleetException(
                    "the platform answered " + answer.status() + " " + answer.body());
              }
              return Json.read(answer.body().getBytes(StandardCharsets.UTF_8), JsonNode.class);
            });
  }

  private static long version(JsonNode answer) {
    return answer.path("version").asLong();
  }
}
