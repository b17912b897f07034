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

/** Makes HTTP calls and reads each answer whole; a broken transfer is a failed future. */
public final class HttpCaller implements ManagedService {

  private static final int MAXIMUM_CONNECTIONS = 4_000;
  private static final int MAXIMUM_PENDING = 20_000;

  private final ConnectionProvider connections =
      ConnectionProvider.builder("caller")
          .maxConnections(MAXIMUM_CONNECTIONS)
          .pendingAcquireMaxCount(MAXIMUM_PENDING)
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

  /** Makes a call without headers or body. */
  public CompletableFuture<HttpResponse> get(String address) {
    return call("GET", address, Map.of(), "", Duration.ofSeconds(60));
  }

  /**
   * Makes a call.
   *
   * @param method HTTP method
   * @param address the whole address
   * @param headers headers by name
   * @param body body in UTF-8; empty for none
   * @param timeout time after which the call is given up
   */
  public CompletableFuture<HttpResponse> call(
      String method, String address, Map<String, String> headers, String body, Duration timeout) {
    long start = System.nanoTime();
    return client
        .headers(each -> headers.forEach(each::set))
        .request(HttpMethod.valueOf(method))
        .uri(address)
        .send(ByteBufFlux.fromString(body.isEmpty() ? Mono.empty() : Mono.just(body)))
        .response((response, content) -> read(start, response, content))
        .single()
        .timeout(timeout)
        .toFuture();
  }

  private static Mono<HttpResponse> read(
      long start, HttpClientResponse response, ByteBufFlux content) {
    ResponseBody body = new ResponseBody(start);
    return content
        .asByteArray()
        .doOnNext(body::append)
        .then(response.trailerHeaders().map(HttpCaller::map).defaultIfEmpty(Map.of()))
        .map(trailers -> body.toResponse(response, trailers));
  }

  private static Map<String, String> map(HttpHeaders headers) {
    Map<String, String> map = new TreeMap<>();
    headers.forEach(header -> map.put(header.getKey().toLowerCase(Locale.ROOT), header.getValue()));
    return map;
  }

  /** The part of a body that has been read. */
  private static final class ResponseBody {

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final long start;
    private long firstByteNanos;

    ResponseBody(long start) {
      this.start = start;
    }

    void append(byte[] part) {
      if (bytes.size() == 0) {
        firstByteNanos = System.nanoTime() - start;
      }
      bytes.writeBytes(part);
    }

    HttpResponse toResponse(HttpClientResponse response, Map<String, String> trailers) {
      long totalNanos = System.nanoTime() - start;
      return new HttpResponse(
          response.status().code(),
          map(response.responseHeaders()),
          trailers,
          bytes.toString(StandardCharsets.UTF_8),
          bytes.size() == 0 ? totalNanos : firstByteNanos,
          totalNanos);
    }
  }
}
