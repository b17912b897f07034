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
 * Routers and sidecars of one data centre as decisions in virtual time, every router linked to
 * every sidecar, with every message encoded, counted and decoded.
 */
final class SimulatedFleet {

  static final String SERVICE = "plan-model";

  private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
  private static final int STEPS_PER_SECOND = 40;
  private static final int WARM_SECONDS = 10;
  private static final int MEASURED_SECONDS = 20;
  private static final int WAITING_AT_EACH_ROUTER = 2;
  private static final double MILLION = 1e6;

  private final Map<String, SimulatedTransport> ports = new HashMap<>();
  private final List<SimulatedRouter> routers = new ArrayList<>();
  private final List<SimulatedSidecar> sidecars = new ArrayList<>();
  private final List<SimulatedTransport> routerPorts = new ArrayList<>();
  private final List<SimulatedTransport> sidecarPorts = new ArrayList<>();
  private final int known;
  private final int backlogged;
  private long nowNanos = TimeUnit.SECONDS.toNanos(1_000);
  private long routerNanos;
  private long holderNanos;
  private long sidecarNanos;
  private int nextKnown;

  SimulatedFleet(int routerCount, int sidecarCount, int known, int backlogged) {
    this.known = known;
    this.backlogged = backlogged;
    Table table = table(known);
    for (int index = 0; index < routerCount; index++) {
      SimulatedTransport port = port("router-" + index, Role.ROUTER, "");
      routerPorts.add(port);
      routers.add(new SimulatedRouter(port, table));
    }
    for (int index = 0; index < sidecarCount; index++) {
      SimulatedTransport port = port("sidecar-" + index, Role.SIDECAR, SERVICE);
      sidecarPorts.add(port);
      sidecars.add(new SimulatedSidecar(port, table));
    }
    link();
  }

  /** Runs the fleet under a steady backlog and returns what it cost. */
  List<SlopeMeasurement> measure() {
    for (SimulatedRouter router : routers) {
      for (int index = 0; index < backlogged * WAITING_AT_EACH_ROUTER; index++) {
        router.submit(workspace(index % backlogged));
      }
    }
    run(WARM_SECONDS);
    ports.values().forEach(SimulatedTransport::resetCounts);
    routerNanos = 0;
    holderNanos = 0;
    sidecarNanos = 0;
    long before = completed();
    run(MEASURED_SECONDS);
    return figures(completed() - before);
  }

  private List<SlopeMeasurement> figures(long requests) {
    List<SlopeMeasurement> figures = new ArrayList<>();
    figures.add(new SlopeMeasurement("requests", "/s", requests / (double) MEASURED_SECONDS));
    figures.add(new SlopeMeasurement("failed", "requests", failed()));
    for (MessageClass kind :
        List.of(MessageClass.DEMAND, MessageClass.ATTEMPT, MessageClass.COST)) {
      figures.add(
          new SlopeMeasurement("router " + kind + " sent", "B/s", bytes(routerPorts, kind)));
      figures.add(
          new SlopeMeasurement("sidecar " + kind + " sent", "B/s", bytes(sidecarPorts, kind)));
    }
    figures.add(processor("router processor", routerNanos, routers.size()));
    figures.add(processor("holder processor", holderNanos, 1));
    figures.add(processor("sidecar processor", sidecarNanos, sidecars.size()));
    figures.add(
        new SlopeMeasurement(
            "all processor", "us/request", (routerNanos + sidecarNanos) / 1e3 / requests));
    figures.addAll(memory());
    return figures;
  }

  private List<SlopeMeasurement> memory() {
    int routerCount = routers.size();
    int sidecarCount = sidecars.size();
    long all = usedBytes();
    sidecars.clear();
    long withoutSidecars = usedBytes();
    routers.clear();
    long rest = usedBytes();
    return List.of(
        new SlopeMeasurement(
            "sidecar state", "MB", (all - withoutSidecars) / MILLION / sidecarCount),
        new SlopeMeasurement(
            "router state", "MB", (withoutSidecars - rest) / MILLION / routerCount));
  }

  private static long usedBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private void run(int seconds) {
    for (int step = 0; step < seconds * STEPS_PER_SECOND; step++) {
      nowNanos += STEP_NANOS;
      askAsKnown(step);
      routerNanos += timed(() -> routers.forEach(router -> router.step(nowNanos)));
      holderNanos += timed(() -> routers.forEach(SimulatedRouter::stepCostAggregator));
      sidecarNanos += timed(() -> sidecars.forEach(sidecar -> sidecar.step(nowNanos)));
    }
  }

  private static long timed(Runnable work) {
    final long start = ProcessorTime.nanos();
    work.run();
    return ProcessorTime.nanos() - start;
  }

  /** Has one workspace of those without a backlog ask each second. */
  private void askAsKnown(int step) {
    if (known > backlogged && step % STEPS_PER_SECOND == 0) {
      int index = backlogged + nextKnown % (known - backlogged);
      routers.get(nextKnown % routers.size()).submit(workspace(index));
      nextKnown++;
    }
  }

  private void link() {
    for (int sidecar = 0; sidecar < sidecars.size(); sidecar++) {
      for (int router = 0; router < routers.size(); router++) {
        routers.get(router).onPeerConnected(sidecarPorts.get(sidecar).self());
        sidecars.get(sidecar).onRouterConnected(routerPorts.get(router).self());
      }
    }
  }

  private SimulatedTransport port(String name, Role role, String service) {
    return new SimulatedTransport(
        new PeerIdentity(name, 1, role, "kolkata-a", "kolkata", service), ports);
  }

  private long completed() {
    return routers.stream().mapToLong(SimulatedRouter::completed).sum();
  }

  private long failed() {
    return routers.stream().mapToLong(SimulatedRouter::failed).sum();
  }

  private static double bytes(List<SimulatedTransport> ports, MessageClass kind) {
    return ports.stream().mapToLong(port -> port.sentBytes(kind)).sum()
        / (double) MEASURED_SECONDS
        / ports.size();
  }

  private static SlopeMeasurement processor(String name, long nanos, int processes) {
    double seconds = nanos / (double) TimeUnit.SECONDS.toNanos(1);
    return new SlopeMeasurement(name, "% core", 100 * seconds / MEASURED_SECONDS / processes);
  }

  private static Table table(int known) {
    Map<String, Workspace> workspaces = new HashMap<>();
    for (int index = 0; index < known; index++) {
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
