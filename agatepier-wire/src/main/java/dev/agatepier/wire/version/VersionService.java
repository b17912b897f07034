package dev.agatepier.wire.version;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.VersionMessage;
import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.process.PlatformSubject;
import dev.agatepier.core.process.VersionDecision;
import dev.agatepier.core.process.VersionEffect;
import dev.agatepier.core.process.VersionEvent;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.TableCheckResult;
import dev.agatepier.core.version.TableMistake;
import dev.agatepier.wire.process.LogEvent;
import dev.agatepier.wire.request.Digests;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/** The task that owns a process's table and instance list and keeps them up to date. */
public final class VersionService implements ManagedService {

  /** Messages that may wait for the task. */
  private static final int MAILBOX_CAPACITY = 4_096;

  /** Time between two looks at what is due, in milliseconds. */
  private static final long TICK_MILLIS = 100;

  private static final Logger LOGGER = LogManager.getLogger(VersionService.class);

  private final VersionDecision decision;
  private final Platform platform;
  private final PeerSender sender;
  private final List<VersionListener> listeners;
  private final Scheduler scheduler;
  private final MonotonicClock clock;
  private final DoubleSupplier jitter;
  private final TableFormat format;
  private final MailboxTask<VersionEvent> task;
  private final CompletableFuture<Void> tableReady = new CompletableFuture<>();
  private final Set<PlatformSubject> failing = ConcurrentHashMap.newKeySet();
  private Disposable ticks = () -> {};
  private volatile Table table = Table.NONE;
  private volatile InstanceList instances = InstanceList.NONE;

  /**
   * Creates the service.
   *
   * @param decision what to do; owned by the service from now on
   * @param platform where versions are published
   * @param format how the pages of a table are written
   * @param sender sends to linked peers
   * @param listeners told of each version in force
   * @param scheduler runs the task
   * @param clock the process's clock
   * @param jitter random numbers from 0 to 1
   */
  public VersionService(
      VersionDecision decision,
      Platform platform,
      TableFormat format,
      PeerSender sender,
      List<VersionListener> listeners,
      Scheduler scheduler,
      MonotonicClock clock,
      DoubleSupplier jitter) {
    this.decision = decision;
    this.platform = platform;
    this.format = format;
    this.sender = sender;
    this.listeners = List.copyOf(listeners);
    this.scheduler = scheduler;
    this.clock = clock;
    this.jitter = jitter;
    task =
        new MailboxTask<>(
            MAILBOX_CAPACITY,
            scheduler.createWorker(),
            this::handle,
            failure -> LOGGER.error(LogEvent.TASK_FAILED.message(), failure));
  }

  /** Begins to follow versions; does not wait for the first one. */
  @Override
  public CompletableFuture<Void> start() {
    ticks = scheduler.schedulePeriodically(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> stop() {
    ticks.dispose();
    task.close();
    return CompletableFuture.completedFuture(null);
  }

  /** Returns a future that completes when the first table is in force. */
  public CompletableFuture<Void> tableReady() {
    return tableReady.copy();
  }

  /** Returns the table in force. */
  public Table table() {
    return table;
  }

  /** Returns the instance list in force. */
  public InstanceList instances() {
    return instances;
  }

  /** Tells the task that a link is up. */
  public void onPeerConnected(PeerIdentity peer) {
    task.post(new VersionEvent.PeerConnected(peer));
  }

  /** Tells the task that a link is gone. */
  public void onPeerDisconnected(PeerIdentity peer) {
    task.post(new VersionEvent.PeerDisconnected(peer));
  }

  /** Returns whether a message is for this service. */
  public static boolean accepts(LinkMessage message) {
    return message instanceof VersionMessage || message instanceof LinkMessage.Heartbeat;
  }

  /** Hands the task a message that came over a link; returns false if its mailbox is full. */
  public boolean receive(PeerIdentity peer, LinkMessage message) {
    return message instanceof VersionMessage.PageTransfer(String digest, Bytes content)
        ? task.offer(
            new VersionEvent.PageArrived(peer.instance(), digest, matching(digest, content)))
        : task.offer(new VersionEvent.MessageArrived(peer, message, now()));
  }

  private static Optional<Bytes> matching(String digest, Bytes content) {
    return Digests.of(content.array()).equals(digest) ? Optional.of(content) : Optional.empty();
  }

  private void tick() {
    task.offer(new VersionEvent.TimePassed(jitter.getAsDouble(), now()));
  }

  private ReadTimestamp now() {
    return new ReadTimestamp(clock.nanoTime(), System.currentTimeMillis());
  }

  private void handle(VersionEvent event) {
    decision.decide(event, clock.nanoTime()).forEach(this::carryOut);
  }

  private void carryOut(VersionEffect effect) {
    switch (effect) {
      case VersionEffect.Send(String instance, LinkMessage message) ->
          sender.send(instance, message);
      case VersionEffect.ReadPlatform read -> readPlatform(read);
      case VersionEffect.ReadPage(PageReference page) ->
          platform.page(page).whenComplete((content, failure) -> pageRead(page, content, failure));
      case VersionEffect.PrepareTable(ManifestTransfer manifest, List<Bytes> pages) ->
          handle(prepare(manifest, pages));
      case VersionEffect.PublishTable(Table newer) -> publish(newer);
      case VersionEffect.ConfirmTable(ReadTimestamp begun) ->
          listeners.forEach(listener -> listener.onTableConfirmed(begun));
      case VersionEffect.PublishInstances(InstanceList newer) -> {
        instances = newer;
        platform.onInstancesActivated(newer);
        listeners.forEach(listener -> listener.onInstancesActivated(newer));
      }
      case VersionEffect.ReportRefusal(long version, List<TableMistake> mistakes) ->
          LOGGER.error(
              LogEvent.TABLE_REFUSED
                  .message()
                  .with("version", version)
                  .with("mistakes", mistakes.size())
                  .with("first", mistakes.getFirst().toString()));
    }
  }

  private void publish(Table newer) {
    table = newer;
    LOGGER.info(
        LogEvent.TABLE_IN_FORCE
            .message()
            .with("version", newer.version())
            .with("workspaces", newer.workspaces().size()));
    listeners.forEach(listener -> listener.onTableActivated(newer));
    tableReady.complete(null);
  }

  private VersionEvent prepare(ManifestTransfer manifest, List<Bytes> pages) {
    List<TableFormat.RawPage> raw = new ArrayList<>();
    for (int index = 0; index < pages.size(); index++) {
      raw.add(new TableFormat.RawPage(manifest.pages().get(index).name(), pages.get(index)));
    }
    return switch (format.read(manifest.version(), raw)) {
      case TableCheckResult.Accepted(Table whole) ->
          new VersionEvent.TablePrepared(manifest, whole);
      case TableCheckResult.Refused(List<TableMistake> mistakes) ->
          new VersionEvent.TableRefused(manifest, mistakes);
    };
  }

  private void pageRead(PageReference page, Bytes content, Throwable failure) {
    if (failure != null) {
      LOGGER.warn(
          LogEvent.PLATFORM_READ_FAILED
              .message()
              .with("subject", page.name())
              .with("reason", FailureSummary.of(failure)));
    }
    task.offer(
        new VersionEvent.PageArrived(
            VersionDecision.PLATFORM, page.digest(), Optional.ofNullable(content)));
  }

  private void readPlatform(VersionEffect.ReadPlatform read) {
    ReadTimestamp begun = now();
    if (read.subject() == PlatformSubject.TABLE) {
      tellAnswer(
          read.subject(),
          begun,
          platform.manifest(read.afterVersion(), read.waitSeconds()),
          manifest -> new VersionEvent.ManifestRead(manifest, jitter.getAsDouble(), begun));
    } else {
      tellAnswer(
          read.subject(),
          begun,
          platform.instances(read.afterVersion(), read.waitSeconds()),
          list -> new VersionEvent.InstancesRead(list, jitter.getAsDouble()));
    }
  }

  private <A> void tellAnswer(
      PlatformSubject subject,
      ReadTimestamp begun,
      CompletableFuture<Optional<A>> read,
      Function<A, VersionEvent> newVersion) {
    read.whenComplete(
        (answer, failure) -> {
          if (failure == null) {
            if (failing.remove(subject)) {
              LOGGER.info(LogEvent.PLATFORM_READ_AGAIN.message().with("subject", subject));
            }
            task.offer(
                answer.map(newVersion).orElse(new VersionEvent.PlatformUnchanged(subject, begun)));
          } else {
            failing.add(subject);
            LOGGER.warn(
                LogEvent.PLATFORM_READ_FAILED
                    .message()
                    .with("subject", subject)
                    .with("reason", FailureSummary.of(failure)));
            task.offer(new VersionEvent.ReadFailed(subject, jitter.getAsDouble()));
          }
        });
  }
}
