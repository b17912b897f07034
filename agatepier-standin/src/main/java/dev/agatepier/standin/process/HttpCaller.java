package dev.agatepier.standin.process;

import dev.agatepier.core.process.ManagedService;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;

/** Makes HTTP calls and buffers the responses; an incomplete response fails the future. */
public final class HttpCaller implements ManagedService {

  private static final int MAXIMUM_CONNECTIONS = 4_000;
  private static final int MAXIMUM_PENDING_ACQUIRES = 20_000;

  private final ConnectionProvider connections =
      ConnectionProvider.builder("caller")
          .maxConnections(MAXIMUM_CONNECTIONS)
          .pendingAcquireMaxCount(MAXIMUM_PENDING_ACQUIRES)
          .build();
  private final HttpClient client = HttpClient.create(connections).disableRetry(true);

  @Override
  public CompletableFuture<Void> start() {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> stop() {
    return connections.disposeLater().toFuture();
  }

  /** Makes a GET call without headers or body, with a timeout of 60 seconds. */
  public CompletableFuture<HttpResponse> get(String url) {
    return call("GET", url, Map.of(), "", Duration.ofSeconds(60));
  }

  /**
   * Makes a call.
   *
   * @param method HTTP method
   * @param url absolute URL
   * @param headers headers by name
   * @param body body, encoded as UTF-8; empty for none
   * @param timeout time limit for the complete response; the future fails when it expires
   */
  public CompletableFuture<HttpResponse> call(
      String method, String url, Map<String, String> headers, String body, Duration timeout) {
    long startNanos = System.nanoTime();
    return client
        .headers(each -> headers.forEach(each::set))
        .request(HttpMethod.valueOf(method))
        .uri(url)
        .send(ByteBufFlux.fromString(body.isEmpty() ? Mono.empty() : Mono.just(body)))
        .response((response, content) -> readResponse(startNanos, response, content))
        .single()
        .timeout(timeout)
        .toFuture();
  }

  private static Mono<HttpResponse> readResponse(
      long startNanos, HttpClientResponse response, ByteBufFlux content) {
    ResponseBody body = new ResponseBody(startNanos);
    return content
        .asByteArray()
        .doOnNext(body::append)
        .then(response.trailerHeaders().map(HttpCaller::lowerCaseMap).defaultIfEmpty(Map.of()))
        .map(trailers -> body.toResponse(response, trailers));
  }

  private static Map<String, String> lowerCaseMap(HttpHeaders headers) {
    Map<String, String> map = new TreeMap<>();
    headers.forEach(header -> map.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
    return map;
  }

  /** Accumulates a response body. */
  private static final class ResponseBody {

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final long startNanos;
    private long firstByteNanos;

    ResponseBody(long startNanos) {
      this.startNanos = startNanos;
    }

    void append(byte[] chunk) {
      if (bytes.size() == 0) {
        firstByteNanos = System.nanoTime() - startNanos;
      }
      bytes.writeBytes(chunk);
    }

    HttpResponse toResponse(HttpClientResponse response, Map<String, String> trailers) {
      long totalNanos = System.nanoTime() - startNanos;
      return new HttpResponse(
          response.status().code(),
          lowerCaseMap(response.responseHeaders()),
          trailers,
          bytes.toString(StandardCharsets.UTF_8),
          bytes.size() == 0 ? totalNanos : firstByteNanos,
          totalNanos);
    }
  }
}
