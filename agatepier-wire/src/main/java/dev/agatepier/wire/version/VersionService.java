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
import dev.agatepier.core.version.SoftwareVersionHistory;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.TableCheckResult;
import dev.agatepier.core.version.TableMistake;
import dev.agatepier.core.version.Upstream;
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

/** The task that owns the table and the instance list of a process and keeps them up to date. */
public final class VersionService implements ManagedService {

  /** Maximum number of messages in the task's mailbox. */
  private static final int MAILBOX_CAPACITY = 4_096;

  /** Interval at which timers are checked, in milliseconds. */
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
  private final Set<PlatformSubject> failingSubjects = ConcurrentHashMap.newKeySet();
  private Disposable tickTimer = () -> {};
  private volatile Table table = Table.NONE;
  private volatile InstanceList instances = InstanceList.NONE;

  /**
   * Creates the service.
   *
   * @param decision decides on the effects of each event; owned by the service from now on
   * @param platform reads the published versions
   * @param format decodes the pages of a table
   * @param sender sends messages to connected peers
   * @param listeners receive each active version, in this order
   * @param scheduler runs the task
   * @param clock the process's monotonic clock
   * @param jitter supplies random numbers from 0 to 1 that spread out reads
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

  /** Starts to read versions; does not wait for the first one. */
  @Override
  public CompletableFuture<Void> start() {
    tickTimer = scheduler.schedulePeriodically(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> stop() {
    tickTimer.dispose();
    task.close();
    return CompletableFuture.completedFuture(null);
  }

  /** Returns a future that completes when the first table becomes active. */
  public CompletableFuture<Void> tableReady() {
    return tableReady.copy();
  }

  /** Returns the active table; {@link Table#NONE} before the first one. */
  public Table table() {
    return table;
  }

  /** Returns the active instance list; {@link InstanceList#NONE} before the first one. */
  public InstanceList instances() {
    return instances;
  }

  /** Posts to the task that a link to a peer is connected. */
  public void onPeerConnected(PeerIdentity peer) {
    task.post(new VersionEvent.PeerConnected(peer));
  }

  /** Posts to the task that a link to a peer is disconnected. */
  public void onPeerDisconnected(PeerIdentity peer) {
    task.post(new VersionEvent.PeerDisconnected(peer));
  }

  /**
   * Requests a read of all registered upstreams that starts after this call. Its result is passed
   * to the listeners; requests during a read share the next one.
   */
  public void readUpstreams() {
    task.post(new VersionEvent.UpstreamsWanted());
  }

  /** Returns whether this service handles the message. */
  public static boolean accepts(LinkMessage message) {
    return message instanceof VersionMessage || message instanceof LinkMessage.Heartbeat;
  }

  /** Passes a message of a peer to the task; returns false if the task's mailbox is full. */
  public boolean receive(PeerIdentity peer, LinkMessage message) {
    return message instanceof VersionMessage.PageTransfer(String digest, Bytes content)
        ? task.offer(
            new VersionEvent.PageReceived(peer.instance(), digest, verifyDigest(digest, content)))
        : task.offer(new VersionEvent.MessageReceived(peer, message, now()));
  }

  private static Optional<Bytes> verifyDigest(String digest, Bytes content) {
    return Digests.of(content.array()).equals(digest) ? Optional.of(content) : Optional.empty();
  }

  private void tick() {
    task.offer(new VersionEvent.Tick(jitter.getAsDouble(), now()));
  }

  private ReadTimestamp now() {
    return new ReadTimestamp(clock.nanoTime(), System.currentTimeMillis());
  }

  private void handle(VersionEvent event) {
    decision.decide(event, clock.nanoTime()).forEach(this::execute);
  }

  private void execute(VersionEffect effect) {
    switch (effect) {
      case VersionEffect.Send(String instance, LinkMessage message) ->
          sender.send(instance, message);
      case VersionEffect.ReadPlatform read -> readPlatform(read);
      case VersionEffect.ReadUpstreams _ -> readUpstreamsNow();
      case VersionEffect.ReadPage(PageReference page) ->
          platform
              .page(page)
              .whenComplete((content, failure) -> onPageRead(page, content, failure));
      case VersionEffect.PrepareTable(ManifestTransfer manifest, List<Bytes> pages) ->
          handle(prepareTable(manifest, pages));
      case VersionEffect.PublishTable(Table newTable) -> publishTable(newTable);
      case VersionEffect.ConfirmTable(ReadTimestamp readStarted) ->
          listeners.forEach(listener -> listener.onTableConfirmed(readStarted));
      case VersionEffect.PublishInstances(InstanceList newInstances) ->
          publishInstances(newInstances);
      case VersionEffect.ConfirmInstances(ReadTimestamp readStarted) ->
          listeners.forEach(listener -> listener.onInstancesConfirmed(readStarted));
      case VersionEffect.ReportUpstreams(List<Upstream> upstreams, ReadTimestamp startedAt) ->
          listeners.forEach(listener -> listener.onUpstreamsRead(upstreams, startedAt));
      case VersionEffect.ReportUpstreamsUnknown(ReadTimestamp startedAt) ->
          listeners.forEach(listener -> listener.onUpstreamsReadFailed(startedAt));
      case VersionEffect.ReportEvacuation report -> logEvacuation(report);
      case VersionEffect.ReportRefusal(long version, List<TableMistake> mistakes) ->
          LOGGER.error(
              LogEvent.TABLE_REFUSED
                  .message()
                  .with("version", version)
                  .with("mistakes", mistakes.size())
                  .with("first", mistakes.getFirst().toString()));
    }
  }

  private static void logEvacuation(VersionEffect.ReportEvacuation report) {
    LogEvent event = report.started() ? LogEvent.EVACUATION_STARTED : LogEvent.EVACUATION_ENDED;
    boolean platform = report.source().equals(VersionDecision.PLATFORM);
    LOGGER.info(
        event
            .message()
            .with("dataCentre", report.dataCentre())
            .with("ageMillis", report.ageMillis())
            .with("source", platform ? "platform" : report.source()));
  }

  private void publishTable(Table newTable) {
    table = newTable;
    LOGGER.info(
        LogEvent.TABLE_IN_FORCE
            .message()
            .with("version", newTable.version())
            .with("workspaces", newTable.workspaces().size()));
    listeners.forEach(listener -> listener.onTableActivated(newTable));
    tableReady.complete(null);
  }

  private void publishInstances(InstanceList newInstances) {
    final boolean first = instances.version() == 0;
    instances = newInstances;
    platform.onInstancesActivated(newInstances);
    listeners.forEach(listener -> listener.onInstancesActivated(newInstances));
    if (first) {
      platform.softwareVersions().whenComplete(this::onSoftwareVersionsRead);
    }
  }

  /** Not read again after a failure: what this process sees itself soon reaches back as far. */
  private void onSoftwareVersionsRead(SoftwareVersionHistory history, Throwable failure) {
    if (failure != null) {
      LOGGER.warn(
          LogEvent.PLATFORM_READ_FAILED
              .message()
              .with("subject", "software-versions")
              .with("reason", FailureSummary.of(failure)));
    } else if (history.reachMillis() > 0) {
      listeners.forEach(listener -> listener.onSoftwareVersionsRead(history));
    }
  }

  private VersionEvent prepareTable(ManifestTransfer manifest, List<Bytes> pages) {
    List<TableFormat.RawPage> raw = new ArrayList<>();
    for (int index = 0; index < pages.size(); index++) {
      raw.add(new TableFormat.RawPage(manifest.pages().get(index).name(), pages.get(index)));
    }
    return switch (format.read(manifest.version(), raw)) {
      case TableCheckResult.Accepted(Table newTable) ->
          new VersionEvent.TablePrepared(manifest, newTable);
      case TableCheckResult.Refused(List<TableMistake> mistakes) ->
          new VersionEvent.TableRefused(manifest, mistakes);
    };
  }

  private void onPageRead(PageReference page, Bytes content, Throwable failure) {
    if (failure != null) {
      LOGGER.warn(
          LogEvent.PLATFORM_READ_FAILED
              .message()
              .with("subject", page.name())
              .with("reason", FailureSummary.of(failure)));
    }
    task.offer(
        new VersionEvent.PageReceived(
            VersionDecision.PLATFORM, page.digest(), Optional.ofNullable(content)));
  }

  private void readPlatform(VersionEffect.ReadPlatform read) {
    ReadTimestamp calledAt = now();
    if (read.subject() == PlatformSubject.TABLE) {
      postReadResult(
          read.subject(),
          platform.manifest(read.afterVersion(), read.waitSeconds()),
          manifest ->
              manifest
                  .<VersionEvent>map(
                      found -> new VersionEvent.ManifestRead(found, jitter.getAsDouble(), calledAt))
                  .orElse(new VersionEvent.PlatformUnchanged(read.subject(), calledAt)));
    } else {
      postReadResult(
          read.subject(),
          platform.instances(read.afterVersion(), read.waitSeconds(), calledAt),
          this::toEvent);
    }
  }

  private void readUpstreamsNow() {
    ReadTimestamp readStarted = now();
    platform
        .upstreams()
        .whenComplete(
            (upstreams, failure) -> {
              if (failure != null) {
                LOGGER.warn(
                    LogEvent.PLATFORM_READ_FAILED
                        .message()
                        .with("subject", "upstreams")
                        .with("reason", FailureSummary.of(failure)));
              }
              task.post(
                  failure == null
                      ? new VersionEvent.UpstreamsRead(upstreams, readStarted)
                      : new VersionEvent.UpstreamsReadFailed(readStarted));
            });
  }

  private VersionEvent toEvent(InstanceListRead read) {
    return read.newer()
        .<VersionEvent>map(
            list -> new VersionEvent.InstancesRead(list, jitter.getAsDouble(), read.readStarted()))
        .orElse(new VersionEvent.PlatformUnchanged(PlatformSubject.INSTANCES, read.readStarted()));
  }

  private <A> void postReadResult(
      PlatformSubject subject, CompletableFuture<A> read, Function<A, VersionEvent> toEvent) {
    read.whenComplete(
        (result, failure) -> {
          if (failure == null) {
            if (failingSubjects.remove(subject)) {
              LOGGER.info(LogEvent.PLATFORM_READ_AGAIN.message().with("subject", subject));
            }
            task.offer(toEvent.apply(result));
          } else {
            failingSubjects.add(subject);
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
