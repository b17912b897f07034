package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.core.process.SidecarEvent;
import dev.agatepier.wire.process.LogEvent;
import dev.agatepier.wire.process.UpstreamSettings;
import dev.agatepier.wire.request.internal.OrderedDelivery;
import io.netty.channel.ConnectTimeoutException;
import java.io.IOException;
import java.time.Duration;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;

/** Task that checks the health of the upstream periodically and reports changes. */
public final class HealthChecker {

  private static final Logger LOGGER = LogManager.getLogger(HealthChecker.class);

  private static final String PATH = "/health";
  private static final int HEALTHY = 200;

  private final HttpClient client;
  private final Duration interval;
  private final Duration timeout;
  private final OrderedDelivery<SidecarEvent> events;
  private final MailboxTask<CheckerEvent> task;
  private Disposable pending = Disposables.disposed();
  private boolean stopped;
  private boolean checking;
  private boolean healthy;

  /** Whether the upstream has been healthy since its last crash. */
  private boolean alive;

  /** Event of the task. */
  private sealed interface CheckerEvent {}

  /** A check is due. */
  private record CheckDue() implements CheckerEvent {}

  /** The upstream has responded. */
  private record ResponseReceived(boolean healthy) implements CheckerEvent {}

  /** The upstream did not respond; a refused or reset connection means that it is not running. */
  private record CheckFailed(boolean connectionRefused) implements CheckerEvent {}

  /** The checker is being stopped. */
  private record StopRequested() implements CheckerEvent {}

  /** Creates the checker; the upstream counts as unhealthy until it has responded. */
  public HealthChecker(
      HttpClient client, UpstreamSettings settings, OrderedDelivery<SidecarEvent> events) {
    this.client = client;
    this.interval = Duration.ofMillis(settings.healthMillis());
    this.timeout = Duration.ofMillis(settings.healthTimeoutMillis());
    this.events = events;
    this.task =
        new MailboxTask<>(
            Integer.MAX_VALUE,
            Schedulers.parallel().createWorker(),
            this::handle,
            failure -> LOGGER.error(LogEvent.TASK_FAILED.message(), failure));
  }

  /** Starts the checks. */
  public void start() {
    checkNow();
  }

  /** Stops the checks. */
  public void stop() {
    task.post(new StopRequested());
  }

  /** Starts a check immediately unless one is in progress. */
  public void checkNow() {
    task.post(new CheckDue());
  }

  private void handle(CheckerEvent event) {
    switch (event) {
      case CheckDue() -> check();
      case ResponseReceived(boolean nowHealthy) -> onResponse(nowHealthy);
      case CheckFailed(boolean connectionRefused) -> onFailure(connectionRefused);
      case StopRequested() -> {
        stopped = true;
        pending.dispose();
      }
    }
  }

  private void check() {
    if (stopped || checking) {
      return;
    }
    pending.dispose();
    checking = true;
    pending =
        client
            .get()
            .uri(PATH)
            .responseSingle((response, body) -> Mono.just(response.status().code() == HEALTHY))
            .timeout(timeout)
            .subscribe(
                nowHealthy -> task.post(new ResponseReceived(nowHealthy)),
                failure -> task.post(new CheckFailed(isConnectionRefused(failure))));
  }

  private static boolean isConnectionRefused(Throwable failure) {
    return failure instanceof IOException && !(failure instanceof ConnectTimeoutException);
  }

  private void onResponse(boolean nowHealthy) {
    if (nowHealthy != healthy) {
      events.deliver(new SidecarEvent.UpstreamHealthChanged(nowHealthy, false));
    }
    healthy = nowHealthy;
    alive |= nowHealthy;
    scheduleNextCheck();
  }

  private void onFailure(boolean connectionRefused) {
    boolean crashed = alive && connectionRefused;
    if (healthy || crashed) {
      events.deliver(new SidecarEvent.UpstreamHealthChanged(false, crashed));
    }
    healthy = false;
    alive &= !crashed;
    scheduleNextCheck();
  }

  private void scheduleNextCheck() {
    checking = false;
    if (!stopped) {
      pending = Mono.delay(interval, Schedulers.parallel()).subscribe(ignored -> checkNow());
    }
  }
}
