package dev.agatepier.wire.process;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.Mailbox;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.version.Table;
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

/** What differs between the surroundings that a router can run in. */
public interface RouterEnvironment {

  /**
   * What the router gives to those parts of it that depend on its surroundings.
   *
   * @param settings what the router is told
   * @param self identity of the router
   * @param activeTable the table in force
   * @param lease says whether that table was confirmed lately enough
   * @param mailbox mailbox of the router's decision, which may be full
   * @param eventSink where events that must not be lost go
   * @param clock the process's monotonic clock
   * @param eventLoops event loops of sockets
   * @param metrics registry of the process's metrics
   * @param readiness whether the router takes work
   * @param failureHandler told of failures of tasks
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
      Consumer<Throwable> failureHandler) {}

  /** Returns the event loops of sockets. */
  LoopResources eventLoops();

  /** Returns what runs the router's tasks. */
  Scheduler scheduler();

  /** Returns what publishes tables and instance lists. */
  Platform platform(RouterSettings settings, MetricRegistry metrics);

  /** Returns how the pages of a table are written. */
  TableFormat tableFormat();

  /** Returns the callers' side. */
  CallerFrontEnd callerFrontEnd(Context context);

  /** Returns how upstreams speak that the router itself calls, if it calls any. */
  Optional<UpstreamDialect> upstreamDialect();

  /** Returns further services, which live as long as the router. */
  List<ManagedService> services(Context context);
}
