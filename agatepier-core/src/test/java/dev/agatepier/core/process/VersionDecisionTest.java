package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.VersionMessage;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class VersionDecisionTest {

  private static final int NODES = 20;

  private static final long LEASE_MILLIS = 5_000;

  /** Reads of one reader: two watches, the manifest and two pages, with one retry of each. */
  private static final int READS_PER_READER = 10;

  private static final VersionPolicy POLICY = VersionPolicy.DEFAULT;

  private VersionFleet fleet;

  @BeforeMethod
  public void startFleet() {
    fleet = new VersionFleet(POLICY);
    for (int number = 0; number < NODES; number++) {
      fleet.add("router-" + number);
    }
    fleet.publish(5, "a", "b");
    fleet.publishInstances(1);
    fleet.run(10_000);
  }

  @Test
  public void allNodesHaveTheFirstVersionAndTwoWatch() {
    assertEquals(fleet.countWithVersion(5), NODES);
    assertEquals(fleet.countWatching(), POLICY.readersPerDataCentre());
    int bound = 2 * NODES + READS_PER_READER * POLICY.readersPerDataCentre();
    assertTrue(fleet.reads <= bound, fleet.reads + " reads over " + bound);
  }

  @Test
  public void changeReachesAllNodesAndOnlyChangedPagesAreFetched() {
    int readsBefore = fleet.reads;
    int fromPeersBefore = fleet.pagesFromPeers;
    int unchangedBefore = fleet.pagesFromPlatform.get("a");
    fleet.publish(6, "a", "c");
    fleet.run(1_000);
    assertEquals(fleet.countWithVersion(6), NODES);
    assertEquals(fleet.pagesFromPlatform.get("a"), unchangedBefore);
    assertEquals(fleet.pagesFromPeers - fromPeersBefore, NODES - POLICY.readersPerDataCentre());
    assertTrue(fleet.reads - readsBefore <= 3 * POLICY.readersPerDataCentre());
  }

  @Test
  public void staleReadChangesNothing() {
    VersionDecision node = fleet.nodes.get("router-0");
    VersionMessage.ManifestTransfer stale = new VersionMessage.ManifestTransfer(4, List.of());
    PeerIdentity peer = new PeerIdentity("router-1", 1, Role.ROUTER, "kolkata-a", "kolkata", "");
    assertEquals(
        node.decide(new VersionEvent.ManifestRead(stale, 0.5, ReadTimestamp.UNTIMED), 0),
        List.of());
    assertEquals(
        node.decide(new VersionEvent.MessageReceived(peer, stale, ReadTimestamp.UNTIMED), 0),
        List.of());
    VersionEvent prepared = new VersionEvent.TablePrepared(stale, new Table(4, Map.of(), Map.of()));
    assertEquals(node.decide(prepared, 0), List.of());
    InstanceList old = new InstanceList(0, List.of());
    assertEquals(node.decide(new VersionEvent.InstancesRead(old, 0.5), 0), List.of());
    assertEquals(node.table().version(), 5);
  }

  /** The result of a read that was running may be older than the request. */
  @Test
  public void upstreamsThatAreWantedDuringTheirReadAreReadAgain() {
    VersionDecision node = fleet.nodes.get("router-0");
    VersionEvent wanted = new VersionEvent.UpstreamsWanted();
    VersionEvent read = new VersionEvent.UpstreamsRead(List.of(), ReadTimestamp.UNTIMED);
    VersionEffect start = new VersionEffect.ReadUpstreams();
    VersionEffect report = new VersionEffect.ReportUpstreams(List.of(), ReadTimestamp.UNTIMED);
    VersionEffect unknown = new VersionEffect.ReportUpstreamsUnknown(ReadTimestamp.UNTIMED);
    final long interval = 100_000_000;
    assertEquals(node.decide(wanted, 0), List.of(start));
    assertEquals(node.decide(wanted, interval), List.of());
    assertEquals(node.decide(wanted, interval), List.of());
    assertEquals(node.decide(read, interval), List.of(report));
    assertEquals(startsOfReads(node, interval), 1);
    VersionEvent failed = new VersionEvent.UpstreamsReadFailed(ReadTimestamp.UNTIMED);
    assertEquals(node.decide(failed, interval), List.of(unknown));
    assertEquals(startsOfReads(node, 2 * interval), 0);
    assertEquals(node.decide(wanted, 2 * interval - 1), List.of(), "reads have a price");
    assertEquals(startsOfReads(node, 2 * interval), 1);
  }

  private static long startsOfReads(VersionDecision node, long nowNanos) {
    return node.decide(new VersionEvent.Tick(0.5, ReadTimestamp.UNTIMED), nowNanos).stream()
        .filter(VersionEffect.ReadUpstreams.class::isInstance)
        .count();
  }

  /**
   * Guards against a list that is confirmed by a read of other upstreams: two routers that replace
   * the list of a third one may give different lists the same version.
   */
  @Test
  public void readOfOtherUpstreamsDoesNotConfirmListOfTheSameVersion() {
    VersionDecision node = new VersionDecision("router-x", "kolkata-a", POLICY);
    InstanceList active = new InstanceList(7, List.of(), List.of(upstream("v1")));
    InstanceList other = new InstanceList(7, List.of(), List.of(upstream("v1"), upstream("v2")));
    ReadTimestamp started = new ReadTimestamp(1, 1);
    node.decide(new VersionEvent.InstancesRead(active, 0.5, started), 0);
    assertEquals(node.decide(new VersionEvent.InstancesRead(other, 0.5, started), 0), List.of());
    assertEquals(
        node.decide(new VersionEvent.InstancesRead(active, 0.5, started), 0),
        List.of(new VersionEffect.ConfirmInstances(started)));
  }

  /** Guards against confirmations without a read, and against readers that never confirm. */
  @Test
  public void listIsConfirmedOnlyByReadsWithKnownTime() {
    VersionDecision node = new VersionDecision("router-x", "kolkata-a", POLICY);
    InstanceList list = new InstanceList(7, List.of(), List.of(upstream("v1")));
    ReadTimestamp started = new ReadTimestamp(1, 1);
    assertEquals(
        node.decide(new VersionEvent.InstancesRead(list, 0.5), 0),
        List.of(new VersionEffect.PublishInstances(list)));
    assertEquals(node.decide(unchanged(ReadTimestamp.UNTIMED), 0), List.of());
    assertEquals(
        node.decide(unchanged(started), 0), List.of(new VersionEffect.ConfirmInstances(started)));
  }

  @Test
  public void peersForwardTheTimeOfTheLastConfirmation() {
    VersionFleet leasedFleet = startFleetWithLeases();
    leasedFleet.withoutPlatform.add("router-3");
    for (int seconds = 0; seconds < 20; seconds++) {
      leasedFleet.run(1_000);
      assertEquals(
          leasedFleet.countConfirmedWithin(LEASE_MILLIS), NODES, "after " + seconds + " s");
    }
    leasedFleet.publish(6, "a", "c");
    leasedFleet.run(1_000);
    assertEquals(leasedFleet.countWithVersion(6), NODES);
    leasedFleet.run(LEASE_MILLIS);
    assertEquals(leasedFleet.countConfirmedWithin(LEASE_MILLIS), NODES);
  }

  @Test
  public void peersDoNotConfirmWithoutThePlatform() {
    VersionFleet leasedFleet = startFleetWithLeases();
    leasedFleet.nodes.keySet().forEach(leasedFleet.withoutPlatform::add);
    leasedFleet.run(2 * LEASE_MILLIS);
    assertEquals(leasedFleet.countConfirmedWithin(LEASE_MILLIS), 0);
    leasedFleet.withoutPlatform.clear();
    leasedFleet.run(LEASE_MILLIS);
    assertEquals(leasedFleet.countConfirmedWithin(LEASE_MILLIS), NODES);
  }

  @Test
  public void evacuationReachesAllNodesAndThoseThatJoinLate() {
    fleet.readInstances("router-0", 1, Set.of("kolkata-a"), 9);
    fleet.withoutPlatform.add("router-late");
    fleet.add("router-late");
    fleet.run(VersionFleet.STEP_MILLIS);
    assertEquals(fleet.countWithEvacuated(Set.of("kolkata-a")), NODES + 1);
  }

  /** Guards against an evacuation lost where a reader without it publishes newer upstreams. */
  @Test
  public void readersThatKnowDifferentEvacuationsAgreeOnTheNewest() {
    fleet.readInstances("router-0", 1, Set.of("kolkata-a"), 9);
    fleet.readInstances("router-1", 12, Set.of("kolkata-a", "kolkata-b"), 10);
    fleet.readInstances("router-2", 13, Set.of(), 8);
    fleet.run(2 * VersionFleet.STEP_MILLIS);
    assertEquals(fleet.countWithEvacuated(Set.of("kolkata-a", "kolkata-b")), NODES);
    fleet.readInstances("router-3", 13, Set.of(), 11);
    fleet.run(VersionFleet.STEP_MILLIS);
    assertEquals(fleet.countWithEvacuated(Set.of()), NODES);
  }

  /** Guards against a lease prolonged by a read whose evacuations are not known here. */
  @Test
  public void confirmationOfNewerEvacuationsDoesNotCount() {
    VersionFleet leasedFleet = startFleetWithLeases();
    VersionDecision node = leasedFleet.nodes.get("router-0");
    ReadTimestamp late = new ReadTimestamp(TimeUnit.DAYS.toNanos(1), TimeUnit.DAYS.toMillis(1));
    PeerIdentity peer = new PeerIdentity("router-1", 1, Role.ROUTER, "kolkata-a", "kolkata", "");
    long number = requestConfirmation(node, late);
    VersionMessage.ConfirmationTransfer reply =
        new VersionMessage.ConfirmationTransfer(number, 5, 100);
    assertEquals(
        node.decide(
            new VersionEvent.MessageReceived(peer, reply.withEvacuatedRevision(9), late),
            late.nanos()),
        List.of());
    assertEquals(
        node.decide(new VersionEvent.MessageReceived(peer, reply, late), late.nanos()),
        List.of(new VersionEffect.ConfirmTable(late.before(100))));
  }

  private static long requestConfirmation(VersionDecision node, ReadTimestamp now) {
    return node.decide(new VersionEvent.Tick(0.5, now), now.nanos()).stream()
        .filter(VersionEffect.Send.class::isInstance)
        .map(effect -> ((VersionEffect.Send) effect).message())
        .filter(VersionMessage.ConfirmationRequest.class::isInstance)
        .mapToLong(message -> ((VersionMessage.ConfirmationRequest) message).number())
        .findFirst()
        .orElseThrow();
  }

  private static VersionFleet startFleetWithLeases() {
    VersionFleet leasedFleet =
        new VersionFleet(new VersionPolicy(2, 0, 100, 1, 250, 1_000, 2_000, LEASE_MILLIS));
    for (int number = 0; number < NODES; number++) {
      leasedFleet.add("router-" + number);
    }
    leasedFleet.publish(5, "a", "b");
    leasedFleet.publishInstances(1);
    leasedFleet.run(5_000);
    return leasedFleet;
  }

  @Test
  public void invalidVersionIsRejectedOnceAndTheNextOneActivated() {
    fleet.badVersions.add(6L);
    fleet.publish(6, "bad");
    fleet.run(60_000);
    assertEquals(fleet.countWithVersion(5), NODES);
    assertEquals(fleet.refusals.size(), POLICY.readersPerDataCentre());
    fleet.publish(7, "good");
    fleet.run(1_000);
    assertEquals(fleet.countWithVersion(7), NODES);
  }

  @Test
  public void otherNodesReplaceFailedReaders() {
    fleet.watchers().forEach(fleet::remove);
    fleet.publish(6, "c");
    fleet.run(1_000);
    assertEquals(fleet.countWithVersion(6), NODES - POLICY.readersPerDataCentre());
    assertEquals(fleet.countWatching(), POLICY.readersPerDataCentre());
  }

  @Test
  public void nodeWithoutPlatformFollowsItsPeersAndReadsWithBackoff() {
    fleet.withoutPlatform.add("late");
    fleet.add("late");
    int before = fleet.reads;
    fleet.run(2_000);
    assertEquals(fleet.version("late"), 0, "trusts its peers too early without the platform");
    fleet.run(2_000);
    assertEquals(fleet.version("late"), 5);
    assertEquals(fleet.nodes.get("late").instances().version(), 1);
    assertTrue(fleet.reads - before < 20, fleet.reads - before + " reads");
  }

  @Test
  public void newNodePrefersPeersToStalePlatform() {
    fleet.publish(3, "stale");
    fleet.add("late");
    fleet.run(1_000);
    assertEquals(fleet.version("late"), 5);
  }

  @Test
  public void wholeFleetWithoutPlatformBacksOff() {
    VersionFleet cold = new VersionFleet(POLICY);
    for (int number = 0; number < NODES; number++) {
      cold.add("router-" + number);
    }
    cold.withoutPlatform.addAll(cold.nodes.keySet());
    cold.run(60_000);
    int before = cold.reads;
    cold.run(60_000);
    long longestPause = POLICY.lastRetryMillis() / 2;
    long bound = NODES * 2L * (60_000 / longestPause + 1);
    assertTrue(cold.reads - before <= bound, cold.reads - before + " reads over " + bound);
  }

  private static VersionEvent unchanged(ReadTimestamp started) {
    return new VersionEvent.PlatformUnchanged(PlatformSubject.INSTANCES, started);
  }

  private static Upstream upstream(String softwareVersion) {
    return new Upstream(
        "on-" + softwareVersion, 1, "s", "127.0.0.1", 1, "d", 4, false, false, softwareVersion);
  }
}
