package dev.agatepier.wire.process;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.Mailbox;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.version.Table;
import dev.agatepier.wire.connection.MemoryBudget;
import dev.agatepier.wire.request.UpstreamDialect;
import dev.agatepier.wire.version.Platform;
import dev.agatepier.wire.version.TableFormat;
import dev.agatepier.wire.version.TableLease;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import reactor.core.scheduler.Scheduler;
import reactor.netty.resources.LoopResources;

/** Provides the parts of a router that depend on the environment it is deployed in. */
public interface RouterEnvironment {

  /**
   * State and services of the router for the parts that the environment provides.
   *
   * @param settings settings of the router
   * @param self identity of the router
   * @param activeTable returns the active table
   * @param lease whether the last confirmation of that table is recent enough
   * @param mailbox mailbox of the router decision, which rejects events when it is full
   * @param eventSink accepts events that must not be lost
   * @param clock monotonic clock of the process
   * @param eventLoops event loops for sockets
   * @param metrics metric registry of the process
   * @param readiness whether the router accepts work
   * @param limits limits on what callers make the process hold
   * @param resources what the process may use
   * @param memory memory budget of the process
   * @param failureHandler called with the exceptions that tasks throw
   */
  record Context(
      RouterSettings settings,
      PeerIdentity self,
      Supplier<Table> activeTable,
      TableLease lease,
      Mailbox<RouterEvent> mailbox,
      Consumer<RouterEvent> eventSink,
      MonotonicClock clock,
      LoopResources eventLoops,
      MetricRegistry metrics,
      Supplier<Readiness> readiness,
      LimitSettings limits,
      ProcessResources resources,
      MemoryBudget memory,
      Consumer<Throwable> failureHandler) {}

  /** Returns the event loops for sockets. */
  LoopResources eventLoops();

  /** Returns the scheduler for the tasks of the router. */
  Scheduler scheduler();

  /** Returns the client of the platform that publishes tables and instance lists. */
  Platform platform(RouterSettings settings, MetricRegistry metrics);

  /** Returns the format of the pages of a table. */
  TableFormat tableFormat();

  /** Returns the front end that accepts requests from callers. */
  CallerFrontEnd callerFrontEnd(Context context);

  /** Returns the protocol of upstreams that the router calls directly; empty if it calls none. */
  Optional<UpstreamDialect> upstreamDialect();

  /** Returns further services, which start and stop with the router. */
  List<ManagedService> services(Context context);
}
