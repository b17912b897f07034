package dev.agatepier.wire.process;

import dev.agatepier.core.process.Mailbox;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.SidecarEffect;
import dev.agatepier.core.process.SidecarEvent;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.wire.connection.internal.StrictClientCodec;
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
import reactor.netty.NettyPipeline;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

/** Sends attempts to the upstream of a sidecar and checks its health. */
public final class UpstreamClient implements ManagedService {

  private final Mailbox<? super SidecarEvent> mailbox;
  private final ConnectionProvider connections;
  private final HttpClient client;
  private final HealthChecker health;
  private final Map<AttemptId, UpstreamExchange> exchanges = new ConcurrentHashMap<>();

  /**
   * Creates the client without opening a connection.
   *
   * @param settings address and limits of the upstream
   * @param mailbox mailbox of the sidecar decision
   */
  public UpstreamClient(UpstreamSettings settings, Mailbox<? super SidecarEvent> mailbox) {
    this.mailbox = mailbox;
    this.connections =
        ConnectionProvider.builder("upstream")
            .maxConnections(settings.maximumConnections())
            .maxIdleTime(Duration.ofMillis(settings.idleMillis()))
            .build();
    this.client = newHttpClient(settings, connections);
    this.health =
        new HealthChecker(
            newHttpClient(settings, ConnectionProvider.newConnection()),
            settings,
            new OrderedDelivery<>(mailbox, Schedulers.parallel()));
  }

  /** Starts the health checks. */
  @Override
  public CompletableFuture<Void> start() {
    health.start();
    return CompletableFuture.completedFuture(null);
  }

  /** Cancels the attempts in flight and closes the connections. */
  @Override
  public CompletableFuture<Void> stop() {
    health.stop();
    exchanges.values().forEach(UpstreamExchange::withdraw);
    return connections.disposeLater().toFuture();
  }

  /** Returns the ids of the attempts in flight, sorted. */
  public List<String> inFlight() {
    return exchanges.keySet().stream().map(AttemptId::toString).sorted().toList();
  }

  /** Performs an effect that concerns the upstream; ignores other effects. */
  public void perform(SidecarEffect effect) {
    switch (effect) {
      case SidecarEffect.StartUpstream start -> startAttempt(start);
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

  private void startAttempt(SidecarEffect.StartUpstream start) {
    UpstreamExchange exchange =
        new UpstreamExchange(
            start,
            Schedulers.parallel(),
            new OrderedDelivery<>(mailbox, Schedulers.parallel()),
            this::onAttemptEnded);
    exchanges.put(start.attempt(), exchange);
    exchange.start(client);
  }

  private void onAttemptEnded(AttemptId attempt, boolean completed) {
    exchanges.remove(attempt);
    if (!completed) {
      health.checkNow();
    }
  }

  private static HttpClient newHttpClient(UpstreamSettings settings, ConnectionProvider provider) {
    InetSocketAddress address = new InetSocketAddress(settings.address(), settings.port());
    return HttpClient.create(provider)
        .remoteAddress(() -> address)
        .disableRetry(true)
        .doOnChannelInit(
            (observer, channel, remote) ->
                channel
                    .pipeline()
                    .replace(
                        NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, new StrictClientCodec()))
        .option(
            ChannelOption.CONNECT_TIMEOUT_MILLIS,
            (int) Math.min(Integer.MAX_VALUE, settings.connectMillis()));
  }
}
