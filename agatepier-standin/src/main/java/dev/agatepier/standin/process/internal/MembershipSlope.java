package dev.agatepier.standin.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.VersionMessage;
import dev.agatepier.core.process.LinkPlan;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.wire.connection.MessagePackCodec;
import java.util.List;

/**
 * Measures how the cost of one membership change for a process grows with the length of the
 * instance list.
 */
final class MembershipSlope implements SlopeBenchmark {

  private static final int RUNS = 20;
  private static final double SECONDS_PER_CHANGE = 22;

  @Override
  public String name() {
    return "membership-changes";
  }

  @Override
  public List<Integer> sizes() {
    return List.of(1_546, 3_092, 6_185, 12_370);
  }

  @Override
  public int target() {
    return 12_370;
  }

  @Override
  public List<SlopeMeasurement> measure(int size) {
    List<Instance> instances = FleetInstances.list(size);
    InstanceList list = new InstanceList(1, instances);
    MessagePackCodec codec = new MessagePackCodec();
    VersionMessage.InstancesTransfer transfer = new VersionMessage.InstancesTransfer(list);
    byte[] content = codec.encode(transfer);
    PeerIdentity router =
        new PeerIdentity("router-00000", 1, Role.ROUTER, "data-centre-0", "region-0", "");
    LinkPlan plan = new LinkPlan(router, RouterPolicy.DEFAULT.sidecarsPerService());
    return List.of(
        new SlopeMeasurement("list in one message", "KB", content.length / 1e3),
        new SlopeMeasurement(
            "at one change in 22 s", "B/s a node", content.length / SECONDS_PER_CHANGE),
        new SlopeMeasurement(
            "encode", "ms", ProcessorTime.meanMillis(RUNS, () -> codec.encode(transfer))),
        new SlopeMeasurement(
            "decode", "ms", ProcessorTime.meanMillis(RUNS, () -> codec.decode(content))),
        new SlopeMeasurement(
            "plan links", "ms", ProcessorTime.meanMillis(RUNS, () -> plan.selectTargets(list))));
  }
}
