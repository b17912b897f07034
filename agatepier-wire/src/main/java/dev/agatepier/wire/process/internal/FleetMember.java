package dev.agatepier.wire.process.internal;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.LinkMessage.KnownRouters;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.LinkPlan;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.VersionDecision;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;
import dev.agatepier.wire.connection.Link;
import dev.agatepier.wire.connection.LinkEventHandler;
import dev.agatepier.wire.connection.LinkListener;
import dev.agatepier.wire.connection.LinkNetwork;
import dev.agatepier.wire.connection.LinkSettings;
import dev.agatepier.wire.connection.LinkTls;
import dev.agatepier.wire.process.AdministrationListener;
import dev.agatepier.wire.process.AdministrationSettings;
import dev.agatepier.wire.process.CommonSettings;
import dev.agatepier.wire.process.LogEvent;
import dev.agatepier.wire.process.Readiness;
import dev.agatepier.wire.version.Platform;
import dev.agatepier.wire.version.TableFormat;
import dev.agatepier.wire.version.VersionListener;
import dev.agatepier.wire.version.VersionService;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * What every process of the fleet has: links to its peers, the versions in force, and the
 * administration API. What only routers or sidecars do is in their {@link MemberTasks}.
 */
public final class FleetMember implements ManagedService {

  private static final Logger LOGGER = LogManager.getLogger(FleetMember.class);

  private final PeerIdentity self;
  private final LinkRegistry links;
  private final VersionService versions;
  private final LinkListener linkListener;
  private final PeerDialer dialer;
  private final Optional<SeedDiscovery> seeds;
  private final AdministrationListener administration;
  private final ManagedService metricsPort;
  private final MemberTasks tasks;

  /**
   * Creates the member; nothing is opened yet.
   *
   * @param settings what the process is told
   * @param self identity of the process
   * @param plan whom it dials
   * @param scheduler runs its tasks; whoever gave it disposes of it once all have ended
   * @param links registry that its tasks send through
   * @param metrics registry of its metrics
   * @param tasks what only this kind of process does
   * @param platform what publishes tables and instance lists
   * @param format how the pages of a table are written
   * @param listeners told of versions beside the tasks
   */
  public FleetMember(
      CommonSettings settings,
      PeerIdentity self,
      LinkPlan plan,
      Scheduler scheduler,
      LinkRegistry links,
      MetricRegistry metrics,
      MemberTasks tasks,
      Platform platform,
      TableFormat format,
      List<VersionListener> listeners) {
    this.self = self;
    this.links = links;
    this.tasks = tasks;
    List<VersionListener> told = new ArrayList<>(listeners);
    told.add(new Versions());
    versions =
        new VersionService(
            new VersionDecision(self.instance(), self.dataCentre(), settings.versions()),
            platform,
            format,
            links,
            told,
            scheduler,
            System::nanoTime,
            ThreadLocalRandom.current()::nextDouble);
    LinkNetwork network =
        new LinkNetwork(
            self,
            Bytes.ofText(settings.secret().value()),
            linkSettings(settings),
            this::heartbeat,
            new Events(),
            System::nanoTime);
    linkListener = network.listener(settings.links().address(), settings.links().port());
    dialer =
        new PeerDialer(
            plan,
            instance ->
                network.dialer(
                    instance.address(), instance.port(), () -> !links.isConnected(instance.name())),
            links::isConnected,
            scheduler,
            this::logTaskFailure);
    seeds = seedLinks(settings, network, scheduler);
    MemberAdministration pages = new MemberAdministration(self, links, versions, metrics, tasks);
    administration =
        new AdministrationListener(
            new AdministrationSettings(
                settings.administration().address(),
                settings.administration().port(),
                settings.administrationKey().value()),
            this::readiness,
            pages.routes());
    metricsPort = ManagedService.orNone(settings.metrics().map(pages::metricsPort));
  }

  @Override
  public CompletableFuture<Void> start() {
    return CompletableFuture.allOf(
            linkListener.start(), administration.start(), metricsPort.start())
        .thenCompose(ignored -> versions.start())
        .thenCompose(ignored -> ManagedService.orNone(seeds).start())
        .thenRun(
            () ->
                LOGGER.info(
                    LogEvent.PROCESS_STARTED
                        .message()
                        .with("role", self.role().text())
                        .with("incarnation", Long.toHexString(self.incarnation()))));
  }

  /** Closes links once peers have every frame, then listeners; the tasks must have finished. */
  @Override
  public CompletableFuture<Void> stop() {
    return Mono.fromFuture(ManagedService.orNone(seeds)::stop)
        .then(Mono.fromFuture(() -> CompletableFuture.allOf(dialer.stop(), linkListener.stop())))
        .then(Mono.fromFuture(versions::stop))
        .then(Mono.fromFuture(administration::stop))
        .then(Mono.fromFuture(metricsPort::stop))
        .toFuture();
  }

  /** Returns the table in force. */
  public Table table() {
    return versions.table();
  }

  /** Logs a failure of a task, which goes on. */
  public void logTaskFailure(Throwable failure) {
    LOGGER.error(LogEvent.TASK_FAILED.message(), failure);
  }

  private Heartbeat heartbeat() {
    return new Heartbeat(
        versions.table().version(),
        versions.instances().version(),
        tasks.draining(),
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }

  /** Returns whether the process takes work. */
  public Readiness readiness() {
    if (tasks.draining()) {
      return new Readiness(false, "draining");
    }
    return versions.table().version() == 0
        ? new Readiness(false, "no table is in force")
        : tasks.readiness();
  }

  private Optional<SeedDiscovery> seedLinks(
      CommonSettings settings, LinkNetwork network, Scheduler scheduler) {
    if (settings.seeds().isEmpty()) {
      return Optional.empty();
    }
    Instance own =
        new Instance(
            self.instance(),
            self.role(),
            settings.links().address(),
            settings.links().port(),
            settings.administration().port(),
            self.dataCentre(),
            self.region(),
            self.service(),
            false);
    return Optional.of(
        new SeedDiscovery(
            own,
            settings.seeds(),
            network,
            links,
            dialer::onInstancesActivated,
            scheduler,
            this::logTaskFailure));
  }

  private static LinkSettings linkSettings(CommonSettings settings) {
    LinkSettings base = LinkSettings.DEFAULT;
    return new LinkSettings(
        settings.heartbeatMillis(),
        base.missedHeartbeats(),
        base.handshakeMillis(),
        base.maximumFrameBytes(),
        base.queueMessages(),
        base.queueBytes(),
        base.minimumBackoffMillis(),
        base.maximumBackoffMillis(),
        settings
            .tls()
            .map(tls -> new LinkTls(tls.certificateFile(), tls.keyFile(), tls.trustFile())));
  }

  /** Passes on what happens on links. */
  private final class Events implements LinkEventHandler {
    @Override
    public void onPeerConnected(PeerIdentity peer, Link link) {
      links.add(link);
      versions.onPeerConnected(peer);
      seeds.ifPresent(found -> found.onPeerConnected(peer));
      tasks.onPeerConnected(peer);
    }

    @Override
    public boolean onMessage(PeerIdentity peer, LinkMessage message) {
      if (message instanceof Heartbeat) {
        versions.receive(peer, message);
        return tasks.onMessage(peer, message);
      }
      if (message instanceof KnownRouters known) {
        return seeds.map(found -> found.onRoutersReported(peer, known)).orElse(true);
      }
      return VersionService.accepts(message)
          ? versions.receive(peer, message)
          : tasks.onMessage(peer, message);
    }

    @Override
    public void onPeerDisconnected(PeerIdentity peer, String reason) {
      links.remove(peer);
      versions.onPeerDisconnected(peer);
      seeds.ifPresent(found -> found.onPeerDisconnected(peer));
      tasks.onPeerDisconnected(peer);
      dialer.onLinkClosed(peer.instance());
    }
  }

  /** Passes on the versions in force. */
  private final class Versions implements VersionListener {
    @Override
    public void onTableActivated(Table table) {
      tasks.onTableActivated(table);
    }

    @Override
    public void onInstancesActivated(InstanceList instances) {
      if (seeds.isEmpty()) {
        dialer.onInstancesActivated(instances);
      }
      tasks.onInstancesActivated(instances);
    }
  }
}
