package dev.agatepier.core.process;

import dev.agatepier.core.connection.AttemptMessage.StartAttempt;
import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.RequestId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Router and sidecar decisions in virtual time, with simulated upstreams that keep the only record
 * of which requests ran, and faults that are drawn from a seed.
 */
final class SimulatedFleet {

  static final long FAULTS_MILLIS = 4_000;
  private static final long END_MILLIS = 14_000;
  private static final int FAULTS = 14;

  /** The complete response of each run of a request, as recorded by the upstreams. */
  final Map<RequestId, List<String>> runs = new HashMap<>();

  final List<String> violations = new ArrayList<>();
  final List<VirtualRouter> routers = new ArrayList<>();
  final List<VirtualSidecar> sidecars = new ArrayList<>();
  final VirtualTime time;
  final VirtualNetwork network;
  final VirtualCallers callers;
  final boolean faulty;
  int crashes;

  SimulatedFleet(long seed, boolean faulty) {
    this.faulty = faulty;
    time = new VirtualTime(seed);
    Map<String, VirtualNode> nodes = new TreeMap<>();
    network = new VirtualNetwork(time, nodes, faulty);
    callers = new VirtualCallers(this);
    for (int router = time.draw(2); router < 3; router++) {
      routers.add(new VirtualRouter(this, "r" + router));
    }
    for (int sidecar = time.draw(2); sidecar < 4; sidecar++) {
      sidecars.add(new VirtualSidecar(this, "s" + sidecar));
    }
    routers.forEach(router -> nodes.put(router.name, router));
    sidecars.forEach(sidecar -> nodes.put(sidecar.name, sidecar));
    nodes.values().forEach(VirtualNode::restart);
    List<VirtualNode> all = List.copyOf(nodes.values());
    for (VirtualRouter router : routers) {
      all.stream().filter(node -> node != router).forEach(node -> network.link(router, node));
    }
    for (long tick = 0; tick < END_MILLIS; tick += 25) {
      time.after(tick, () -> all.forEach(node -> node.execute(node.incarnation(), node::tick)));
    }
    for (int fault = 0; faulty && fault < FAULTS; fault++) {
      time.after(time.draw((int) FAULTS_MILLIS), () -> injectFault(all));
    }
  }

  VirtualRouter anyRouter() {
    return routers.get(time.draw(routers.size()));
  }

  /** Records that a request reached an upstream, and the complete response of that run. */
  void recordRun(AttemptId attempt, String response) {
    runs.computeIfAbsent(attempt.request(), request -> new ArrayList<>()).add(response);
    callers.recordRun(attempt.request(), response);
  }

  /**
   * Checks that a router does not start a crashing request again after it knows of enough crashes.
   */
  void checkSend(VirtualRouter router, LinkMessage message) {
    if (message instanceof StartAttempt start
        && start.body().text().startsWith(VirtualUpstream.CRASH)
        && router.knownCrashes.size() >= RouterPolicy.DEFAULT.quarantineDeaths()) {
      violations.add(start.attempt() + " started after " + router.knownCrashes.size() + " crashes");
    }
  }

  private void injectFault(List<VirtualNode> all) {
    VirtualNode node = all.get(time.draw(all.size()));
    VirtualNode other = all.get(time.draw(all.size()));
    switch (time.draw(6)) {
      case 0 -> {
        network.interruptAll(node);
        callers.onProcessEnd(node);
        node.restart();
      }
      case 1 -> {
        node.pause();
        time.after(100 + time.draw(1_500), node::resume);
        time.after(time.draw(1_000), () -> network.interrupt(node, other));
      }
      case 2 -> {
        VirtualSidecar failing = sidecars.get(time.draw(sidecars.size()));
        failing.execute(failing.incarnation(), failing::crashUpstream);
      }
      default -> network.interrupt(node, other);
    }
  }
}
