package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.standin.process.Endpoint;
import dev.agatepier.standin.process.HttpCaller;
import dev.agatepier.standin.process.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Samples the status of every process of a fleet at a fixed interval while a load runs. */
final class FleetSampler {

  private static final long INTERVAL_MILLIS = 250;
  private static final long TABLE_TIMEOUT_SECONDS = 30;
  private static final int MAXIMUM_SAMPLES = 14_400;
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /** Status of every process that responded; the time counts from the sampler's creation. */
  record Sample(long atMillis, List<JsonNode> statuses) {}

  private final HttpCaller caller;
  private final List<Endpoint> administrations;
  private final Map<String, String> headers;
  private final TaskScheduler scheduler;
  private final List<Sample> samples = new ArrayList<>();
  private final long startNanos = System.nanoTime();
  private volatile boolean stopped;

  FleetSampler(
      HttpCaller caller, List<Endpoint> administrations, String key, TaskScheduler scheduler) {
    this.caller = caller;
    this.administrations = administrations;
    this.headers = Map.of("Authorization", "Bearer " + key);
    this.scheduler = scheduler;
  }

  /**
   * Completes when the given table version or a later one is active in every process; fails after a
   * timeout.
   */
  CompletableFuture<Void> awaitTableVersion(long tableVersion) {
    CompletableFuture<Void> reached = new CompletableFuture<>();
    pollTableVersion(tableVersion, reached);
    return reached.orTimeout(TABLE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private void pollTableVersion(long tableVersion, CompletableFuture<Void> reached) {
    statuses()
        .thenAccept(
            statuses -> {
              long upToDate =
                  statuses.stream()
                      .filter(each -> each.path("tableVersion").asLong() >= tableVersion)
                      .count();
              if (upToDate == administrations.size()) {
                reached.complete(null);
              } else if (!reached.isDone()) {
                scheduler.after(
                    TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS),
                    () -> pollTableVersion(tableVersion, reached));
              }
            });
  }

  /** Starts to sample, unless there are no processes. */
  void start() {
    if (!administrations.isEmpty()) {
      sample();
    }
  }

  private void sample() {
    statuses()
        .thenAccept(
            statuses -> {
              add(statuses);
              if (!stopped) {
                scheduler.after(TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS), this::sample);
              }
            });
  }

  /** Stops sampling and returns the samples taken so far. */
  synchronized List<Sample> stop() {
    stopped = true;
    return List.copyOf(samples);
  }

  /** Reads the metrics of every process, without those that fail to respond. */
  CompletableFuture<List<JsonNode>> metrics() {
    return readAll("/v1/metrics");
  }

  private CompletableFuture<List<JsonNode>> statuses() {
    return readAll("/v1/status");
  }

  private CompletableFuture<List<JsonNode>> readAll(String path) {
    List<CompletableFuture<Optional<JsonNode>>> reads =
        administrations.stream().map(each -> read(each, path)).toList();
    return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
        .thenApply(done -> reads.stream().flatMap(read -> read.join().stream()).toList());
  }

  private synchronized void add(List<JsonNode> statuses) {
    if (samples.size() < MAXIMUM_SAMPLES) {
      long nanos = System.nanoTime() - startNanos;
      samples.add(new Sample(TimeUnit.NANOSECONDS.toMillis(nanos), statuses));
    }
  }

  private CompletableFuture<Optional<JsonNode>> read(Endpoint administration, String path) {
    return caller
        .call("GET", administration.httpUrl(path), headers, "", TIMEOUT)
        .handle((response, failure) -> failure == null ? parse(response) : Optional.empty());
  }

  private static Optional<JsonNode> parse(HttpResponse response) {
    byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
    return response.successful() ? Optional.of(Json.read(body, JsonNode.class)) : Optional.empty();
  }
}
