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

/** HTTP server of the administration API of a process. */
public final class AdministrationListener implements ManagedService {

  private static final Logger LOGGER = LogManager.getLogger(AdministrationListener.class);
  private static final ObjectMapper MAPPER =
      new ObjectMapper().disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);

  private static final String AUTHORIZATION_SCHEME = "Bearer ";
  private static final int UNAUTHORIZED = 401;
  private static final int NOT_FOUND = 404;
  private static final int INTERNAL_SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final AdministrationSettings settings;
  private final List<AdministrationRoute> routes = new ArrayList<>();
  private final HttpListener listener = new HttpListener(this::configure, this::handle);

  /**
   * Creates the listener without opening a socket.
   *
   * @param settings address to listen on and the key
   * @param readiness whether the process accepts work
   * @param routes routes in addition to {@code /health} and {@code /ready}
   */
  public AdministrationListener(
      AdministrationSettings settings,
      Supplier<Readiness> readiness,
      List<AdministrationRoute> routes) {
    this.settings = settings;
    this.routes.add(
        unauthenticatedGet("/health", () -> AdministrationResponse.ok(new Health("up"))));
    this.routes.add(unauthenticatedGet("/ready", () -> readinessResponse(readiness.get())));
    this.routes.addAll(routes);
  }

  @Override
  public CompletableFuture<Void> start() {
    return listener.start();
  }

  /** Returns the port that the started listener is bound to. */
  public int port() {
    return listener.port();
  }

  @Override
  public CompletableFuture<Void> stop() {
    return listener.stop();
  }

  private static AdministrationRoute unauthenticatedGet(
      String path, Supplier<AdministrationResponse> response) {
    return new AdministrationRoute(
        "GET", path, true, parameters -> CompletableFuture.completedFuture(response.get()));
  }

  private static AdministrationResponse readinessResponse(Readiness readiness) {
    return readiness.ready()
        ? AdministrationResponse.ok(readiness)
        : new AdministrationResponse(SERVICE_UNAVAILABLE, readiness);
  }

  private HttpServer configure(HttpServer server) {
    return server.host(settings.address()).port(settings.port());
  }

  private Mono<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    return Mono.fromFuture(() -> respond(request))
        .onErrorResume(failure -> Mono.just(failureResponse(failure)))
        .flatMap(content -> write(response, content));
  }

  private CompletableFuture<AdministrationResponse> respond(HttpServerRequest request) {
    boolean authenticated = isAuthenticated(request.requestHeaders().get("authorization", ""));
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

  private boolean isAuthenticated(String authorization) {
    byte[] expected = (AUTHORIZATION_SCHEME + settings.key()).getBytes(StandardCharsets.UTF_8);
    byte[] actual = authorization.getBytes(StandardCharsets.UTF_8);
    return MessageDigest.isEqual(
        Digests.sha256().digest(expected), Digests.sha256().digest(actual));
  }

  private static AdministrationResponse failureResponse(Throwable failure) {
    LOGGER.error(LogEvent.ADMINISTRATION_FAILED.message(), failure);
    return new AdministrationResponse(INTERNAL_SERVER_ERROR, new Failure("the call failed"));
  }

  private static Mono<Void> write(HttpServerResponse response, AdministrationResponse content) {
    byte[] encoded;
    try {
      encoded = MAPPER.writeValueAsBytes(content.body());
    } catch (JsonProcessingException failure) {
      return write(response, failureResponse(failure));
    }
    return response
        .status(content.status())
        .header("Content-Type", "application/json")
        .header("Content-Length", Integer.toString(encoded.length))
        .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(encoded)))
        .then();
  }

  /** Response body of {@code GET /health}. */
  private record Health(String status) {}

  /** Response body of a failed call. */
  private record Failure(String error) {}
}
