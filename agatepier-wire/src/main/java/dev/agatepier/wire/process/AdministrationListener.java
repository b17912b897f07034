package dev.agatepier.wire.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.wire.process.internal.HttpListener;
import dev.agatepier.wire.request.Digests;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The administration API of a process. */
public final class AdministrationListener implements ManagedService {

  private static final Logger LOGGER = LogManager.getLogger(AdministrationListener.class);
  private static final ObjectMapper MAPPER =
      new ObjectMapper().disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);

  private static final String SCHEME = "Bearer ";
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int FAILED = 500;
  private static final int UNAVAILABLE = 503;

  private final AdministrationSettings settings;
  private final List<AdministrationRoute> routes = new ArrayList<>();
  private final HttpListener listener = new HttpListener(this::configure, this::handle);

  /**
   * Creates the listener; nothing is opened yet.
   *
   * @param settings where to listen, and the key
   * @param readiness whether the process takes work
   * @param routes calls beside {@code /health} and {@code /ready}
   */
  public AdministrationListener(
      AdministrationSettings settings,
      Supplier<Readiness> readiness,
      List<AdministrationRoute> routes) {
    this.settings = settings;
    this.routes.add(open("/health", () -> AdministrationResponse.ok(new Health("up"))));
    this.routes.add(open("/ready", () -> ready(readiness.get())));
    this.routes.addAll(routes);
  }

  @Override
  public CompletableFuture<Void> start() {
    return listener.start();
  }

  /** Returns the port that is listened on, once started. */
  public int port() {
    return listener.port();
  }

  @Override
  public CompletableFuture<Void> stop() {
    return listener.stop();
  }

  private static AdministrationRoute open(String path, Supplier<AdministrationResponse> answer) {
    return new AdministrationRoute(
        "GET", path, true, parameters -> CompletableFuture.completedFuture(answer.get()));
  }

  private static AdministrationResponse ready(Readiness readiness) {
    return readiness.ready()
        ? AdministrationResponse.ok(readiness)
        : new AdministrationResponse(UNAVAILABLE, readiness);
  }

  private HttpServer configure(HttpServer server) {
    return server.host(settings.address()).port(settings.port());
  }

  private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return Mono.fromFuture(() -> answer(request))
        .onErrorResume(failure -> Mono.just(failed(failure)))
        .flatMap(answer -> write(response, answer));
  }

  private CompletableFuture<AdministrationResponse> answer(HttpServerRequest request) {
    boolean authenticated = authenticated(request.requestHeaders().get("authorization", ""));
    String path = request.uri().split("\\?", 2)[0];
    for (AdministrationRoute route : routes) {
      Optional<Map<String, String>> parameters = route.match(request.method().name(), path);
      if (parameters.isPresent() && (route.unauthenticated() || authenticated)) {
        return route.handler().handle(parameters.get());
      }
    }
    return CompletableFuture.completedFuture(
        authenticated
            ? new AdministrationResponse(NOT_FOUND, new Failure("there is no such call"))
            : new AdministrationResponse(UNAUTHORIZED, new Failure("the key is missing or wrong")));
  }

  private boolean authenticated(String authorization) {
    byte[] expected = (SCHEME + settings.key()).getBytes(StandardCharsets.UTF_8);
    byte[] actual = authorization.getBytes(StandardCharsets.UTF_8);
    return MessageDigest.isEqual(
        Digests.sha256().digest(expected), Digests.sha256().digest(actual));
  }

  private static AdministrationResponse failed(Throwable failure) {
    LOGGER.error(LogEvent.ADMINISTRATION_FAILED.message(), failure);
    return new AdministrationResponse(FAILED, new Failure("the call failed"));
  }

  private static Mono<Void> write(HttpServerResponse response, AdministrationResponse answer) {
    byte[] encoded;
    try {
      encoded = MAPPER.writeValueAsBytes(answer.body());
    } catch (JsonProcessingException failure) {
      return write(response, failed(failure));
    }
    return response
        .status(answer.status())
        .header("Content-Type", "application/json")
        .header("Content-Length", Integer.toString(encoded.length))
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(encoded)))
        .then();
  }

  /** Body of {@code GET /health}. */
  private record Health(String status) {}

  /** Body of a call that failed. */
  private record Failure(String error) {}
}
