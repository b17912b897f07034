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

/** The task that asks the upstream for its health and tells when the answer changes. */
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

  /** Whether the upstream has been healthy since it was last seen dead. */
  private boolean alive;

  /** One thing to do for the task. */
  private sealed interface CheckerEvent {}

  /** A check is due. */
  private record CheckDue() implements CheckerEvent {}

  /** The upstream answered. */
  private record ResponseReceived(boolean healthy) implements CheckerEvent {}

  /** The upstream did not answer; a refused or reset connection tells that nobody is there. */
  private record CheckFailed(boolean refused) implements CheckerEvent {}

  /** The checks end. */
  private record StopRequested() implements CheckerEvent {}

  /** Creates the checker; an upstream counts as unhealthy until it has answered. */
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

  /** Ends the checks. */
  public void stop() {
    task.post(new StopRequested());
  }

  /** Checks at once, if no check is under way. */
  public void checkNow() {
    task.post(new CheckDue());
  }

  private void handle(CheckerEvent step) {
    switch (step) {
      case CheckDue() -> check();
      case ResponseReceived(boolean nowHealthy) -> answered(nowHealthy);
      case CheckFailed(boolean refused) -> failed(refused);
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
                answer -> task.post(new ResponseReceived(answer)),
                failure -> task.post(new CheckFailed(refused(failure))));
  }

  private static boolean refused(Throwable failure) {
    return failure instanceof IOException && !(failure instanceof ConnectTimeoutException);
  }

  private void answered(boolean nowHealthy) {
    if (nowHealthy != healthy) {
      events.deliver(new SidecarEvent.UpstreamHealthChanged(nowHealthy, false));
    }
    healthy = nowHealthy;
    alive |= nowHealthy;
    checkLater();
  }

  private void failed(boolean refused) {
    boolean died = alive && refused;
    if (healthy || died) {
      events.deliver(new SidecarEvent.UpstreamHealthChanged(false, died));
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
