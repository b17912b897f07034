package dev.agatepier.standin.process.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.LinkPlan;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.wire.connection.LinkSettings;
import dev.agatepier.wire.connection.MessagePackCodec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures how the links and heartbeats of the whole fleet grow with the number of sidecars of each
 * service that a router connects to.
 */
final class LinkSlope implements SlopeBenchmark {

  private static final int INSTANCES = 12_370;
  private static final int HEADER_BYTES = 4;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final LinkMessage.Heartbeat HEARTBEAT =
      new LinkMessage.Heartbeat(7_900, 40_000, false, 86_400_000);

  @Override
  public String name() {
    return "links";
  }

  @Override
  public List<Integer> sizes() {
    return List.of(8, 16, 32, 48);
  }

  @Override
  public int target() {
    return 16;
  }

  @Override
  public List<SlopeMeasurement> measure(int size) {
    InstanceList list = new InstanceList(1, FleetInstances.list(INSTANCES));
    Map<String, Integer> links = new HashMap<>();
    for (Instance router : list.instances()) {
      if (router.role() == Role.ROUTER) {
        List<Instance> targets = plan(router, size).selectTargets(list);
        links.merge(router.name(), targets.size(), Integer::sum);
        targets.forEach(instance -> links.merge(instance.name(), 1, Integer::sum));
      }
    }
    return measurements(list, links);
  }

  private static LinkPlan plan(Instance router, int sidecarsPerService) {
    return new LinkPlan(
        new PeerIdentity(router.name(), 1, Role.ROUTER, router.dataCentre(), router.region(), ""),
        sidecarsPerService);
  }

  private static List<SlopeMeasurement> measurements(
      InstanceList list, Map<String, Integer> links) {
    int heartbeatBytes = new MessagePackCodec().encode(HEARTBEAT).length + HEADER_BYTES;
    double bytesPerLink =
        heartbeatBytes * MILLIS_PER_SECOND / LinkSettings.DEFAULT.heartbeatMillis();
    double routerLinks = mean(list, links, Role.ROUTER);
    return List.of(
        new SlopeMeasurement("links of a router", "", routerLinks),
        new SlopeMeasurement("links of a sidecar", "", mean(list, links, Role.SIDECAR)),
        new SlopeMeasurement("sidecars without a link", "", countUnlinked(list, links)),
        new SlopeMeasurement("heartbeats a router sends", "B/s", routerLinks * bytesPerLink));
  }

  private static double mean(InstanceList list, Map<String, Integer> links, Role role) {
    return list.instances().stream()
        .filter(instance -> instance.role() == role)
        .mapToInt(instance -> links.getOrDefault(instance.name(), 0))
        .average()
        .orElseThrow();
  }

  private static long countUnlinked(InstanceList list, Map<String, Integer> links) {
    return list.instances().stream()
        .filter(instance -> !links.containsKey(instance.name()))
        .count();
  }
}
