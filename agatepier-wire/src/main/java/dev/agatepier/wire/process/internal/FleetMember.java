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
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.SoftwareVersionHistory;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import dev.agatepier.wire.connection.Link;
import dev.agatepier.wire.connection.LinkEventHandler;
import dev.agatepier.wire.connection.LinkListener;
import dev.agatepier.wire.connection.LinkNetwork;
import dev.agatepier.wire.connection.LinkSettings;
import dev.agatepier.wire.connection.LinkTls;
import dev.agatepier.wire.connection.SocketTransport;
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
import reactor.netty.resources.LoopResources;

/**
 * Part that every process of the fleet has: links to its peers, the active versions and the
 * administration API. What is specific to routers or sidecars is in their {@link MemberTasks}.
 */
public final class FleetMember implements ManagedService {

  private static final Logger LOGGER = LogManager.getLogger(FleetMember.class);

  private final PeerIdentity self;
  private final LinkRegistry links;
  private final PeerHeartbeats heartbeats;
  private final VersionService versions;
  private final LinkListener linkListener;
  private final PeerDialer dialer;
  private final Optional<SeedDiscovery> seedDiscovery;
  private final AdministrationListener administration;
  private final ManagedService metricsServer;
  private final MemberTasks tasks;
  private final SocketTransport transport;

  /**
   * Creates the member without opening a socket.
   *
   * @param settings settings of the process
   * @param self identity of the process
   * @param plan selects the peers to dial
   * @param eventLoops event loops of the links
   * @param scheduler runs its tasks; the caller disposes of it after all tasks have ended
   * @param links registry of the links to send through
   * @param metrics metric registry of the process
   * @param tasks tasks that are specific to a router or a sidecar
   * @param platform client of the platform that publishes tables and instance lists
   * @param format format of the pages of a table
   * @param listeners listeners for new versions, in addition to the tasks
   */
  public FleetMember(
      CommonSettings settings,
      PeerIdentity self,
      LinkPlan plan,
      LoopResources eventLoops,
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
    this.heartbeats = new PeerHeartbeats(self.role());
    this.transport = SocketTransport.of(eventLoops);
    List<VersionListener> allListeners = new ArrayList<>(listeners);
    allListeners.add(new VersionForwarder());
    versions =
        new VersionService(
            new VersionDecision(self.instance(), self.dataCentre(), settings.versions()),
            platform,
            format,
            links,
            allListeners,
            scheduler,
            System::nanoTime,
            ThreadLocalRandom.current()::nextDouble);
    LinkNetwork network =
        new LinkNetwork(
            self,
            Bytes.ofText(settings.secret().value()),
            linkSettings(settings),
            this::currentHeartbeat,
            new LinkEventForwarder(),
            System::nanoTime,
            eventLoops,
            scheduler);
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
    seedDiscovery = createSeedDiscovery(settings, network, scheduler);
    MemberAdministration memberAdministration =
        new MemberAdministration(self, links, versions, metrics, tasks);
    administration =
        new AdministrationListener(
            new AdministrationSettings(
                settings.administration().address(),
                settings.administration().port(),
                settings.administrationKey().value()),
            this::readiness,
            memberAdministration.routes());
    metricsServer =
        ManagedService.orNone(settings.metrics().map(memberAdministration::metricsServer));
  }

  @Override
  public CompletableFuture<Void> start() {
    return CompletableFuture.allOf(
            linkListener.start(), administration.start(), metricsServer.start())
        .thenCompose(ignored -> versions.start())
        .thenCompose(ignored -> ManagedService.orNone(seedDiscovery).start())
        .thenRun(
            () ->
                LOGGER.info(
                    LogEvent.PROCESS_STARTED
                        .message()
                        .with("role", self.role().text())
                        .with("incarnation", Long.toHexString(self.incarnation()))
                        .with("transport", transport.name())));
  }

  /** Closes links after peers have received every frame, then listeners; tasks must have ended. */
  @Override
  public CompletableFuture<Void> stop() {
    return Mono.fromFuture(ManagedService.orNone(seedDiscovery)::stop)
        .then(Mono.fromFuture(() -> CompletableFuture.allOf(dialer.stop(), linkListener.stop())))
        .then(Mono.fromFuture(versions::stop))
        .then(Mono.fromFuture(administration::stop))
        .then(Mono.fromFuture(metricsServer::stop))
        .toFuture();
  }

  /** Requests a read of all registered upstreams, see {@link VersionService#readUpstreams}. */
  public void readUpstreams() {
    versions.readUpstreams();
  }

  /** Returns the active table. */
  public Table table() {
    return versions.table();
  }

  /** Logs an exception that a task has thrown; the task continues. */
  public void logTaskFailure(Throwable failure) {
    LOGGER.error(LogEvent.TASK_FAILED.message(), failure);
  }

  private Heartbeat currentHeartbeat() {
    InstanceList instances = versions.instances();
    return new Heartbeat(
        versions.table().version(),
        instances.version(),
        instances.evacuatedRevision(),
        tasks.draining(),
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
  }

  /** Returns whether the process accepts work. */
  public Readiness readiness() {
    if (tasks.draining()) {
      return new Readiness(false, "draining");
    }
    return versions.table().version() == 0
        ? new Readiness(false, "no table is in force")
        : tasks.readiness();
  }

  private Optional<SeedDiscovery> createSeedDiscovery(
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
    LinkSettings defaults = LinkSettings.DEFAULT;
    return new LinkSettings(
        settings.heartbeatMillis(),
        defaults.missedHeartbeats(),
        defaults.handshakeMillis(),
        defaults.maximumFrameBytes(),
        defaults.queueMessages(),
        defaults.queueBytes(),
        defaults.minimumBackoffMillis(),
        defaults.maximumBackoffMillis(),
        settings
            .tls()
            .map(tls -> new LinkTls(tls.certificateFile(), tls.keyFile(), tls.trustFile())));
  }

  /** Forwards events and messages of links. */
  private final class LinkEventForwarder implements LinkEventHandler {
    @Override
    public void onPeerConnected(PeerIdentity peer, Link link) {
      heartbeats.forget(peer);
      links.add(link);
      versions.onPeerConnected(peer);
      seedDiscovery.ifPresent(discovery -> discovery.onPeerConnected(peer));
      tasks.onPeerConnected(peer);
    }

    @Override
    public boolean onMessage(PeerIdentity peer, LinkMessage message) {
      if (message instanceof Heartbeat heartbeat) {
        return onHeartbeat(peer, heartbeat);
      }
      if (message instanceof KnownRouters known) {
        return seedDiscovery
            .map(discovery -> discovery.onRoutersReported(peer, known))
            .orElse(true);
      }
      return VersionService.accepts(message)
          ? versions.receive(peer, message)
          : tasks.onMessage(peer, message);
    }

    private boolean onHeartbeat(PeerIdentity peer, Heartbeat heartbeat) {
      long tableVersion = versions.table().version();
      if (!heartbeats.isNews(peer, heartbeat, tableVersion, versions.instances())) {
        return true;
      }
      versions.receive(peer, heartbeat);
      boolean accepted = tasks.onMessage(peer, heartbeat);
      if (accepted) {
        heartbeats.recordHandled(peer, heartbeat);
      }
      return accepted;
    }

    @Override
    public void onPeerDisconnected(PeerIdentity peer, String reason) {
      heartbeats.forget(peer);
      links.remove(peer);
      versions.onPeerDisconnected(peer);
      seedDiscovery.ifPresent(discovery -> discovery.onPeerDisconnected(peer));
      tasks.onPeerDisconnected(peer);
      dialer.onLinkClosed(peer.instance());
    }
  }

  /** Forwards new active versions. */
  private final class VersionForwarder implements VersionListener {
    @Override
    public void onTableActivated(Table table) {
      tasks.onTableActivated(table);
    }

    @Override
    public void onInstancesActivated(InstanceList instances) {
      if (seedDiscovery.isEmpty()) {
        dialer.onInstancesActivated(instances);
      }
      tasks.onInstancesActivated(instances);
    }

    @Override
    public void onInstancesConfirmed(ReadTimestamp readStarted) {
      tasks.onInstancesConfirmed(readStarted);
    }

    @Override
    public void onUpstreamsRead(List<Upstream> upstreams, ReadTimestamp readStarted) {
      tasks.onUpstreamsRead(upstreams, readStarted);
    }

    @Override
    public void onUpstreamsReadFailed(ReadTimestamp readStarted) {
      tasks.onUpstreamsReadFailed(readStarted);
    }

    @Override
    public void onSoftwareVersionsRead(SoftwareVersionHistory history) {
      tasks.onSoftwareVersionsRead(history);
    }
  }
}
