package dev.agatepier.wire.connection;

import dev.agatepier.core.process.ManagedService;
import dev.agatepier.wire.connection.internal.LinkContext;
import dev.agatepier.wire.connection.internal.LinkTask;
import dev.agatepier.wire.connection.internal.TlsContexts;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/** Server socket that accepts links from other processes of the fleet. */
public final class LinkListener implements ManagedService {

  private final LinkContext context;
  private final String address;
  private final int port;

  /** Accepted links that have not closed yet. */
  private final Set<LinkTask> tasks = ConcurrentHashMap.newKeySet();

  private volatile DisposableServer server;

  LinkListener(LinkContext context, String address, int port) {
    this.context = context;
    this.address = address;
    this.port = port;
  }

  @Override
  public CompletableFuture<Void> start() {
    return Mono.defer(() -> configuredServer().bind())
        .doOnNext(bound -> server = bound)
        .onErrorMap(
            failure ->
                new LinkException("cannot listen for links on " + address + ":" + port, failure))
        .<Void>then()
        .toFuture();
  }

  /** Returns the bound TCP port; call it only after {@link #start} has completed. */
  public int port() {
    return server.port();
  }

  @Override
  public CompletableFuture<Void> stop() {
    if (server == null) {
      return CompletableFuture.completedFuture(null);
    }
    server.dispose();
    CompletableFuture<?>[] finished =
        tasks.stream()
            .map(task -> task.closeGracefully("stopped"))
            .toArray(CompletableFuture[]::new);
    return CompletableFuture.allOf(finished).thenCompose(ignored -> server.onDispose().toFuture());
  }

  private TcpServer configuredServer() {
    TcpServer plain =
        TcpServer.create()
            .runOn(context.eventLoops())
            .host(address)
            .port(port)
            .doOnConnection(this::accept);
    return context
        .settings()
        .tls()
        .map(tls -> plain.secure(spec -> spec.sslContext(TlsContexts.server(tls))))
        .orElse(plain);
  }

  private void accept(Connection connection) {
    LinkTask task = LinkTask.accepted(context, connection);
    tasks.add(task);
    task.closed().thenRun(() -> tasks.remove(task));
    task.start();
  }
}
