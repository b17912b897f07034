package dev.agatepier.wire.process;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.LinkPlan;
import dev.agatepier.core.process.SidecarEffect;
import dev.agatepier.wire.process.internal.FleetMember;
import dev.agatepier.wire.process.internal.LinkRegistry;
import dev.agatepier.wire.process.internal.SidecarTasks;
import dev.agatepier.wire.version.TableReader;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.tcp.TcpResources;

/** Service of a sidecar process, through which all requests reach its upstream. */
public final class SidecarService implements FleetService {

  /** Threads that run the tasks of the sidecar. */
  private static final int TASK_THREADS = 1;

  private final SidecarTasks tasks;
  private final UpstreamClient upstream;
  private final FleetMember member;
  private final Scheduler scheduler;

  /**
   * Creates the sidecar without opening a socket.
   *
   * @param settings settings of the sidecar
   * @param incarnation number of this start of the instance, higher than that of any earlier start
   * @param stop called when an operator requests a graceful stop
   */
  public SidecarService(SidecarSettings settings, long incarnation, Runnable stop) {
    CommonSettings common = settings.common();
    PeerIdentity self =
        new PeerIdentity(
            common.instance(),
            incarnation,
            Role.SIDECAR,
            common.dataCentre(),
            common.region(),
            settings.service(),
            common.processor().capacity());
    scheduler = Schedulers.newParallel("sidecar", TASK_THREADS);
    LinkRegistry links = new LinkRegistry();
    MetricRegistry metrics = new MetricRegistry();
    tasks =
        new SidecarTasks(
            self, settings.policy(), links, this::performAtUpstream, metrics, scheduler, stop);
    upstream =
        new UpstreamClient(
            UpstreamSettings.withDefaults(
                settings.upstream().address(), settings.upstream().port()),
            tasks.mailbox());
    member =
        new FleetMember(
            common,
            self,
            new LinkPlan(self, 1),
            TcpResources.get(),
            scheduler,
            links,
            metrics,
            tasks,
            DefaultRouterEnvironment.platform(common.platformAddress(), metrics),
            new TableReader(),
            List.of());
  }

  @Override
  public CompletableFuture<Void> start() {
    return member.start().thenCompose(ignored -> upstream.start());
  }

  /** Stops granting slots, waits for every attempt to end, then closes everything. */
  @Override
  public CompletableFuture<Void> stop() {
    return Mono.fromFuture(tasks::drain)
        .then(Mono.fromFuture(upstream::stop))
        .then(Mono.fromFuture(member::stop))
        .then(Mono.fromFuture(tasks::close))
        .doFinally(signal -> scheduler.dispose())
        .toFuture();
  }

  @Override
  public List<String> inFlight() {
    return upstream.inFlight();
  }

  private void performAtUpstream(SidecarEffect effect) {
    upstream.perform(effect);
  }
}
