package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.SidecarEvent;
import dev.agatepier.wire.process.UpstreamSettings;
import dev.agatepier.wire.request.internal.OrderedDelivery;
import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.time.Duration;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;

/** Asks the upstream for its health at an interval and tells when the answer changes. */
public final class HealthChecker {

  private static final String PATH = "/health";
  private static final int HEALTHY = 200;

  private final HttpClient client;
  private final Duration interval;
  private final Duration timeout;
  private final OrderedDelivery<SidecarEvent> events;
  private Disposable pending;
  private boolean stopped;
  private boolean checking;
  private boolean healthy;

  /** Whether the upstream has been healthy since it was last seen dead. */
  private boolean alive;

  /** Creates the checker; an upstream counts as unhealthy until it has answered. */
  public HealthChecker(
      HttpClient client, UpstreamSettings settings, OrderedDelivery<SidecarEvent> events) {
    this.client = client;
    this.interval = Duration.ofMillis(settings.healthMillis());
    this.timeout = Duration.ofMillis(settings.healthTimeoutMillis());
    this.events = events;
  }

  /** Starts the checks. */
  public void start() {
    checkNow();
  }

  /** Ends the checks. */
  public synchronized void stop() {
    stopped = true;
    if (pending != null) {
      pending.dispose();
    }
  }

  /** Checks at once, if no check is under way. */
  public synchronized void checkNow() {
    if (stopped || checking) {
      return;
    }
    if (pending != null) {
      pending.dispose();
    }
    checking = true;
    pending =
        client
            .get()
            .uri(PATH)
            .responseSingle((response, body) -> Mono.just(response.status().code() == HEALTHY))
            .timeout(timeout)
            .subscribe(this::answered, this::failed);
  }

  private synchronized void answered(boolean nowHealthy) {
    if (nowHealthy != healthy) {
      events.deliver(new SidecarEvent.UpstreamHealth(nowHealthy, false));
    }
    healthy = nowHealthy;
    alive |= nowHealthy;
    checkLater();
  }

  private synchronized void failed(Throwable failure) {
    boolean refused =
        failure instanceof IOException && !(failure instanceof ConnectTimeoutException);
    boolean died = alive && refused;
    if (healthy || died) {
      events.deliver(new SidecarEvent.UpstreamHealth(false, died));
    }
    healthy = false;
    alive &= !died;
    checkLater();
  }

  private void checkLater() {
    checking = false;
    if (!stopped) {
      pending = Mono.delay(interval, Schedulers.parallel()).subscribe(ignored -> checkNow());
    }
  }
}
