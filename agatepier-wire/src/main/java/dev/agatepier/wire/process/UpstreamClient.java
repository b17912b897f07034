package dev.agatepier.wire.process;

import dev.agatepier.core.process.Mailbox;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.SidecarEffect;
import dev.agatepier.core.process.SidecarEvent;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.wire.process.internal.HealthChecker;
import dev.agatepier.wire.request.internal.OrderedDelivery;
import dev.agatepier.wire.request.internal.UpstreamExchange;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** The upstream's side of a sidecar: calls the upstream and watches its health. */
public final class UpstreamClient implements ManagedService {

  private final Mailbox<? super SidecarEvent> mailbox;
  private final ConnectionProvider connections;
  private final HttpClient client;
  private final HealthChecker health;
  private final Map<AttemptId, UpstreamExchange> exchanges = new ConcurrentHashMap<>();

  /**
   * Creates the client; nothing is opened yet.
   *
   * @param settings how to reach the upstream
   * @param mailbox mailbox of the sidecar's decision
   */
  public UpstreamClient(UpstreamSettings settings, Mailbox<? super SidecarEvent> mailbox) {
    this.mailbox = mailbox;
    this.connections =
        ConnectionProvider.builder("upstream")
            .maxConnections(settings.maximumConnections())
            .maxIdleTime(Duration.ofMillis(settings.idleMillis()))
            .build();
    this.client = clientOf(settings, connections);
    this.health =
        new HealthChecker(
            clientOf(settings, ConnectionProvider.newConnection()),
            settings,
            new OrderedDelivery<>(mailbox, Schedulers.parallel()));
  }

  /** Starts the health checks. */
  @Override
  public CompletableFuture<Void> start() {
    health.start();
    return CompletableFuture.completedFuture(null);
  }

  /** Cancels what still runs and closes the connections. */
  @Override
  public CompletableFuture<Void> stop() {
    health.stop();
    exchanges.values().forEach(UpstreamExchange::withdraw);
    return connections.disposeLater().toFuture();
  }

  /** Returns the names of the attempts under way, sorted. */
  public List<String> inFlight() {
    return exchanges.keySet().stream().map(AttemptId::toString).sorted().toList();
  }

  /** Carries out an effect that concerns the upstream; others are ignored. */
  public void perform(SidecarEffect effect) {
    switch (effect) {
      case SidecarEffect.StartUpstream start -> call(start);
      case SidecarEffect.ReadUpstream read -> {
        UpstreamExchange exchange = exchanges.get(read.attempt());
        if (exchange != null) {
          exchange.addCredit(read.bytes());
        }
      }
      case SidecarEffect.CancelUpstream cancel -> {
        UpstreamExchange exchange = exchanges.get(cancel.attempt());
        if (exchange != null) {
          exchange.withdraw();
        }
      }
      case SidecarEffect.Send _, SidecarEffect.Drained _ -> {}
    }
  }

  private void call(SidecarEffect.StartUpstream start) {
    UpstreamExchange exchange =
        new UpstreamExchange(
            start,
            Schedulers.parallel(),
            new OrderedDelivery<>(mailbox, Schedulers.parallel()),
            this::ended);
    exchanges.put(start.attempt(), exchange);
    exchange.start(client);
  }

  private void ended(AttemptId attempt, boolean whole) {
    exchanges.remove(attempt);
    if (!whole) {
      health.checkNow();
    }
  }

  private static HttpClient clientOf(UpstreamSettings settings, ConnectionProvider provider) {
    InetSocketAddress address = new InetSocketAddress(settings.address(), settings.port());
    return HttpClient.create(provider)
        .remoteAddress(() -> address)
        .disableRetry(true)
        .option(
            ChannelOption.CONNECT_TIMEOUT_MILLIS,
            (int) Math.min(Integer.MAX_VALUE, settings.connectMillis()));
  }
}
