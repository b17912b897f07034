package dev.agatepier.standin.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.version.Limits;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.ServiceKind;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Workspace;
import dev.agatepier.wire.connection.MessageClass;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Simulates the routers and sidecars of one data centre in virtual time, with their real decision
 * classes. Every router is linked to every sidecar, and every message is encoded, counted and
 * decoded.
 */
final class SimulatedFleet {

  static final String SERVICE = "plan-model";

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
  private static final int STEPS_PER_SECOND = 40;
  private static final int WARM_UP_SECONDS = 10;
  private static final int MEASURED_SECONDS = 20;
  private static final int WAITING_PER_ROUTER = 2;
  private static final double BYTES_PER_MEGABYTE = 1e6;

  private final Map<String, SimulatedTransport> transports = new HashMap<>();
  private final List<SimulatedRouter> routers = new ArrayList<>();
  private final List<SimulatedSidecar> sidecars = new ArrayList<>();
  private final List<SimulatedTransport> routerTransports = new ArrayList<>();
  private final List<SimulatedTransport> sidecarTransports = new ArrayList<>();
  private final int knownWorkspaces;
  private final int backloggedWorkspaces;
  private long nowNanos = TimeUnit.SECONDS.toNanos(1_000);
  private long routerNanos;
  private long aggregatorNanos;
  private long sidecarNanos;
  private int nextIdleWorkspace;

  SimulatedFleet(int routerCount, int sidecarCount, int knownWorkspaces, int backloggedWorkspaces) {
    this.knownWorkspaces = knownWorkspaces;
    this.backloggedWorkspaces = backloggedWorkspaces;
    Table table = table(knownWorkspaces);
    for (int index = 0; index < routerCount; index++) {
      SimulatedTransport transport = transport("router-" + index, Role.ROUTER, "");
      routerTransports.add(transport);
      routers.add(new SimulatedRouter(transport, table));
    }
    for (int index = 0; index < sidecarCount; index++) {
      SimulatedTransport transport = transport("sidecar-" + index, Role.SIDECAR, SERVICE);
      sidecarTransports.add(transport);
      sidecars.add(new SimulatedSidecar(transport, table));
    }
    linkAll();
  }

  /**
   * Runs the fleet under a steady backlog and returns its traffic, processor time and heap usage.
   * Call it once: the measurement of the heap discards the routers and sidecars.
   */
  List<SlopeMeasurement> measure() {
    for (SimulatedRouter router : routers) {
      for (int index = 0; index < backloggedWorkspaces * WAITING_PER_ROUTER; index++) {
        router.submit(workspace(index % backloggedWorkspaces));
      }
    }
    run(WARM_UP_SECONDS);
    transports.values().forEach(SimulatedTransport::resetCounts);
    routerNanos = 0;
    aggregatorNanos = 0;
    sidecarNanos = 0;
    long before = completed();
    run(MEASURED_SECONDS);
    return measurements(completed() - before);
  }

  private List<SlopeMeasurement> measurements(long requests) {
    List<SlopeMeasurement> measurements = new ArrayList<>();
    measurements.add(new SlopeMeasurement("requests", "/s", requests / (double) MEASURED_SECONDS));
    measurements.add(new SlopeMeasurement("failed", "requests", failed()));
    for (MessageClass messageClass :
        List.of(MessageClass.DEMAND, MessageClass.ATTEMPT, MessageClass.COST)) {
      measurements.add(
          new SlopeMeasurement(
              "router " + messageClass + " sent",
              "B/s",
              bytesPerSecond(routerTransports, messageClass)));
      measurements.add(
          new SlopeMeasurement(
              "sidecar " + messageClass + " sent",
              "B/s",
              bytesPerSecond(sidecarTransports, messageClass)));
    }
    measurements.add(processor("router processor", routerNanos, routers.size()));
    measurements.add(processor("holder processor", aggregatorNanos, 1));
    measurements.add(processor("sidecar processor", sidecarNanos, sidecars.size()));
    measurements.add(
        new SlopeMeasurement(
            "all processor", "us/request", (routerNanos + sidecarNanos) / 1e3 / requests));
    measurements.addAll(memory());
    return measurements;
  }

  private List<SlopeMeasurement> memory() {
    int routerCount = routers.size();
    int sidecarCount = sidecars.size();
    long all = usedHeapBytes();
    sidecars.clear();
    long withoutSidecars = usedHeapBytes();
    routers.clear();
    long rest = usedHeapBytes();
    return List.of(
        new SlopeMeasurement(
            "sidecar state", "MB", (all - withoutSidecars) / BYTES_PER_MEGABYTE / sidecarCount),
        new SlopeMeasurement(
            "router state", "MB", (withoutSidecars - rest) / BYTES_PER_MEGABYTE / routerCount));
  }

  private static long usedHeapBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private void run(int seconds) {
    for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
      nowNanos += STEP_NANOS;
      submitIdleWorkspace(step);
      routerNanos += timed(() -> routers.forEach(router -> router.step(nowNanos)));
      aggregatorNanos += timed(() -> routers.forEach(SimulatedRouter::stepCostAggregator));
      sidecarNanos += timed(() -> sidecars.forEach(sidecar -> sidecar.step(nowNanos)));
    }
  }

  private static long timed(Runnable work) {
    final long start = ProcessorTime.nanos();
    work.run();
    return ProcessorTime.nanos() - start;
  }

  /** Submits one request per second, round robin over the workspaces without a backlog. */
  private void submitIdleWorkspace(int step) {
    if (knownWorkspaces > backloggedWorkspaces && step % STEPS_PER_SECOND == 0) {
      int index =
          backloggedWorkspaces + nextIdleWorkspace % (knownWorkspaces - backloggedWorkspaces);
      routers.get(nextIdleWorkspace % routers.size()).submit(workspace(index));
      nextIdleWorkspace++;
    }
  }

  private void linkAll() {
    for (int sidecar = 0; sidecar < sidecars.size(); sidecar++) {
      for (int router = 0; router < routers.size(); router++) {
        routers.get(router).onPeerConnected(sidecarTransports.get(sidecar).self());
        sidecars.get(sidecar).onRouterConnected(routerTransports.get(router).self());
      }
    }
  }

  private SimulatedTransport transport(String name, Role role, String service) {
    return new SimulatedTransport(
        new PeerIdentity(name, 1, role, "kolkata-a", "kolkata", service), transports);
  }

  private long completed() {
    return routers.stream().mapToLong(SimulatedRouter::completed).sum();
  }

  private long failed() {
    return routers.stream().mapToLong(SimulatedRouter::failed).sum();
  }

  private static double bytesPerSecond(
      List<SimulatedTransport> transports, MessageClass messageClass) {
    return transports.stream().mapToLong(transport -> transport.sentBytes(messageClass)).sum()
        / (double) MEASURED_SECONDS
        / transports.size();
  }

  private static SlopeMeasurement processor(String name, long nanos, int processes) {
    double seconds = nanos / (double) TimeUnit.SECONDS.toNanos(1);
    return new SlopeMeasurement(name, "% core", 100 * seconds / MEASURED_SECONDS / processes);
  }

  private static Table table(int knownWorkspaces) {
    Map<String, Workspace> workspaces = new HashMap<>();
    for (int index = 0; index < knownWorkspaces; index++) {
      String name = workspace(index);
      workspaces.put(
          name, new Workspace(name, 1, "", new Limits(100_000, 1_000, 0), Set.of(SERVICE)));
    }
    ServiceEntry entry =
        new ServiceEntry(
            SERVICE, ServiceKind.MODEL, List.of(), TimeUnit.SECONDS.toMillis(600), 0.1);
    return new Table(1, workspaces, Map.of(SERVICE, entry));
  }

  private static String workspace(int index) {
    return "workspace-%05d".formatted(index);
  }
}
