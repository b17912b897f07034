package dev.agatepier.standin.process.internal;

import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.standin.connection.Direction;
import dev.agatepier.standin.connection.RouteFaults;
import dev.agatepier.standin.connection.internal.ProxyConnection;
import dev.agatepier.standin.process.Endpoint;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/** A route of the proxy, with its listener, its faults and its connections. */
final class ProxyRoute implements ManagedService, ProxyConnection.Environment {

  /**
   * Addresses of a route.
   *
   * @param name name of the route
   * @param listen address on which the route accepts connections
   * @param target address to which it forwards them
   */
  record Settings(String name, Endpoint listen, Endpoint target) {}

  /**
   * Traffic counts of a route.
   *
   * @param route name of the route
   * @param port bound port
   * @param accepted connections accepted so far
   * @param open currently open connections
   * @param toTarget bytes forwarded to the target
   * @param toCaller bytes forwarded to callers
   * @param swallowed bytes dropped, in both directions
   */
  record Counts(
      String route,
      int port,
      long accepted,
      int open,
      long toTarget,
      long toCaller,
      long swallowed) {}

  private sealed interface Message {
    record Accepted(Connection caller) implements Message {}

    record Ended(ProxyConnection connection) implements Message {}

    record Transferred(Direction direction, int bytes) implements Message {}

    record Swallowed(int bytes) implements Message {}

    record PutFaults(RouteFaults faults, boolean cut) implements Message {}

    record ReadCounts(CompletableFuture<Counts> counts) implements Message {}
  }

  private final Settings settings;
  private final TaskScheduler scheduler;
  private final MailboxTask<Message> task;
  private final Set<ProxyConnection> connections = new HashSet<>();
  private final Map<Direction, Long> bytes = new EnumMap<>(Direction.class);
  private final long seed;
  private RouteFaults faults = RouteFaults.NONE;
  private long accepted;
  private long swallowed;
  private DisposableServer server;

  ProxyRoute(Settings settings, long seed, TaskScheduler scheduler) {
    this.settings = settings;
    this.seed = seed;
    this.scheduler = scheduler;
    this.task = scheduler.task(this::handle);
  }

  @Override
  public CompletableFuture<Void> start() {
    return TcpServer.create()
        .host(settings.listen().address())
        .port(settings.listen().port())
        .doOnConnection(this::accept)
        .bind()
        .doOnNext(bound -> server = bound)
        .then()
        .toFuture();
  }

  @Override
  public CompletableFuture<Void> stop() {
    server.dispose();
    putFaults(RouteFaults.NONE, true);
    return server.onDispose().toFuture();
  }

  String name() {
    return settings.name();
  }

  void putFaults(RouteFaults newFaults, boolean cut) {
    task.offer(new Message.PutFaults(newFaults, cut));
  }

  CompletableFuture<Counts> counts() {
    CompletableFuture<Counts> counts = new CompletableFuture<>();
    if (!task.offer(new Message.ReadCounts(counts))) {
      counts.completeExceptionally(new IllegalStateException("the mailbox is full"));
    }
    return counts;
  }

  @Override
  public <M> MailboxTask<M> createTask(Consumer<M> handler) {
    return scheduler.task(handler);
  }

  @Override
  public void schedule(long delayNanos, Runnable action) {
    scheduler.after(delayNanos, action);
  }

  @Override
  public void recordTransferred(Direction direction, int count) {
    task.offer(new Message.Transferred(direction, count));
  }

  @Override
  public void recordSwallowed(int count) {
    task.offer(new Message.Swallowed(count));
  }

  @Override
  public void onConnectionClosed(ProxyConnection connection) {
    task.offer(new Message.Ended(connection));
  }

  private void accept(Connection caller) {
    if (!task.offer(new Message.Accepted(caller))) {
      ProxyConnection.reset(caller);
    }
  }

  private void handle(Message message) {
    switch (message) {
      case Message.Accepted arrival when faults.refuse() -> ProxyConnection.reset(arrival.caller());
      case Message.Accepted arrival -> open(arrival.caller());
      case Message.Ended ended -> connections.remove(ended.connection());
      case Message.Transferred transferred ->
          bytes.merge(transferred.direction(), (long) transferred.bytes(), Long::sum);
      case Message.Swallowed dropped -> swallowed += dropped.bytes();
      case Message.PutFaults put -> applyFaults(put);
      case Message.ReadCounts read -> read.counts().complete(snapshot());
    }
  }

  private void open(Connection caller) {
    accepted++;
    ProxyConnection connection =
        new ProxyConnection(caller, faults, seed + accepted, System::nanoTime, this);
    connections.add(connection);
    TcpClient.create(ConnectionProvider.newConnection())
        .host(settings.target().address())
        .port(settings.target().port())
        .connect()
        .subscribe(connection::onTargetConnected, failure -> connection.cut());
  }

  private void applyFaults(Message.PutFaults put) {
    faults = put.faults();
    for (ProxyConnection connection : connections) {
      connection.updateFaults(faults);
      if (put.cut()) {
        connection.cut();
      }
    }
  }

  private Counts snapshot() {
    return new Counts(
        settings.name(),
        server.port(),
        accepted,
        connections.size(),
        bytes.getOrDefault(Direction.TO_TARGET, 0L),
        bytes.getOrDefault(Direction.TO_CALLER, 0L),
        swallowed);
  }
}
