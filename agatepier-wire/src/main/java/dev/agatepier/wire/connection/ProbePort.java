package dev.agatepier.wire.connection;

import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.wire.connection.internal.CallerLimit;
import dev.agatepier.wire.connection.internal.ConnectionLimitHandler;
import dev.agatepier.wire.connection.internal.LimitIncidents;
import dev.agatepier.wire.connection.internal.OpenConnections;
import dev.agatepier.wire.connection.internal.ProbeConnection;
import dev.agatepier.wire.process.Endpoint;
import dev.agatepier.wire.process.ListenerException;
import dev.agatepier.wire.process.RouterEnvironment;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/**
 * HTTP server that tells load balancers by the status of one path whether a router accepts
 * connections. It takes a bounded number of connections and nothing but heads, so that whoever can
 * reach it cannot use up the memory or the descriptors of the router.
 */
public final class ProbePort implements ManagedService {

  private static final long CHECK_MILLIS = 1_000;

  private final Endpoint endpoint;
  private final String path;
  private final IntSupplier status;
  private final RouterEnvironment.Context router;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final LimitIncidents incidents;
  private final OpenConnections<ProbeConnection> connections;
  private Disposable check = Disposables.disposed();
  private DisposableServer server;

  /**
   * Creates the port; {@link #start} opens the server socket.
   *
   * @param endpoint endpoint to listen on
   * @param path the path that is served
   * @param status returns the status of responses
   * @param router dependencies that the router shares with its components
   * @param scheduler runs tasks on the router's event loop
   */
  public ProbePort(
      Endpoint endpoint,
      String path,
      IntSupplier status,
      RouterEnvironment.Context router,
      Scheduler scheduler) {
    this.endpoint = endpoint;
    this.path = path;
    this.status = status;
    this.router = router;
    this.scheduler = scheduler;
    this.clock = router.clock();
    this.incidents = new LimitIncidents(clock, router.metrics());
    this.connections =
        new OpenConnections<>(
            router.limits().readinessConnections(), CallerLimit.PROBE_CONNECTIONS, incidents);
  }

  @Override
  public CompletableFuture<Void> start() {
    return TcpServer.create()
        .runOn(router.eventLoops())
        .host(endpoint.address())
        .port(endpoint.port())
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, ProbeConnection.WATER_MARK)
        .doOnChannelInit((observer, channel, remote) -> open(channel))
        .bind()
        .doOnNext(this::onBound)
        .onErrorMap(failure -> new ListenerException("cannot listen for probes", failure))
        .<Void>then()
        .toFuture();
  }

  private void open(Channel channel) {
    ProbeConnection[] opened = new ProbeConnection[1];
    opened[0] =
        new ProbeConnection(
            clock, router.memory(), this::statusOf, () -> connections.remove(opened[0]));
    opened[0].install(channel);
    connections.add(opened[0]);
  }

  private void onBound(DisposableServer bound) {
    server = bound;
    bound.channel().pipeline().addFirst(new ConnectionLimitHandler(connections));
    check =
        scheduler.schedulePeriodically(
            this::checkProgress, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void checkProgress() {
    long now = clock.nanoTime();
    connections.forEach(connection -> connection.checkProgress(now));
    incidents.endQuiet();
  }

  private HttpResponseStatus statusOf(HttpRequest request) {
    boolean served =
        (request.method().equals(HttpMethod.GET) || request.method().equals(HttpMethod.HEAD))
            && new QueryStringDecoder(request.uri()).rawPath().equals(path);
    return served ? HttpResponseStatus.valueOf(status.getAsInt()) : HttpResponseStatus.NOT_FOUND;
  }

  @Override
  public CompletableFuture<Void> stop() {
    check.dispose();
    return server == null
        ? CompletableFuture.completedFuture(null)
        : Mono.fromRunnable(server::dispose).<Void>then().toFuture();
  }
}
