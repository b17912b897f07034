package dev.agatepier.wire.process;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.request.UpstreamDialect;
import dev.agatepier.wire.version.Platform;
import dev.agatepier.wire.version.PlatformClient;
import dev.agatepier.wire.version.TableFormat;
import dev.agatepier.wire.version.TableReader;
import java.util.List;
import java.util.Optional;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.HttpResources;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.LoopResources;

/** Environment with the built-in HTTP front end, platform client and table format. */
public final class DefaultRouterEnvironment implements RouterEnvironment {

  /** Threads that run the tasks of the router. */
  private static final int TASK_THREADS = 2;

  /** Held request bodies take at most the maximum heap size divided by this. */
  private static final int HEAP_DIVISOR_FOR_BODIES = 4;

  private final Scheduler scheduler = Schedulers.newParallel("router", TASK_THREADS);

  @Override
  public LoopResources eventLoops() {
    return HttpResources.get();
  }

  @Override
  public Scheduler scheduler() {
    return scheduler;
  }

  @Override
  public Platform platform(RouterSettings settings, MetricRegistry metrics) {
    return platform(settings.common().platformAddress(), metrics);
  }

  /** Returns a client of the built-in platform API. */
  public static Platform platform(String address, MetricRegistry metrics) {
    PlatformClient client = new PlatformClient(HttpClient.create(), address);
    metrics.register("platform.reads", (Gauge<Long>) client::readCount);
    return client;
  }

  @Override
  public TableFormat tableFormat() {
    return new TableReader();
  }

  @Override
  public CallerFrontEnd callerFrontEnd(Context context) {
    return new CallerListener(
        callerSettings(context.settings()),
        context.self(),
        Bytes.ofText(context.settings().common().secret().value()),
        context.activeTable(),
        context.mailbox(),
        context.clock(),
        context.metrics());
  }

  @Override
  public Optional<UpstreamDialect> upstreamDialect() {
    return Optional.empty();
  }

  @Override
  public List<ManagedService> services(Context context) {
    return List.of();
  }

  private static CallerSettings callerSettings(RouterSettings settings) {
    CallerSettings defaults =
        CallerSettings.withDefaults(settings.callers().address(), settings.callers().port());
    LimitSettings limits = settings.common().limits();
    return new CallerSettings(
        defaults.address(),
        defaults.port(),
        limits.headerBytes(),
        limits.bodyBytes(),
        Runtime.getRuntime().maxMemory() / HEAP_DIVISOR_FOR_BODIES,
        settings.policy().windowBytes(),
        settings.policy().ticketMillis(),
        defaults.idleMillis(),
        limits.connections());
  }
}
