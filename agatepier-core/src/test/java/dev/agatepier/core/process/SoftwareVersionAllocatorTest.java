package dev.agatepier.core.process;

import static dev.agatepier.core.process.SlotAllocatorFixture.PLAIN;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.request.RequestId;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A slot allocator with upstreams of two software versions; each has two slots. */
public class SoftwareVersionAllocatorTest {

  private SlotAllocatorFixture allocator;

  @BeforeMethod
  public void setUp() {
    allocator = new SlotAllocatorFixture();
    allocator.publishVersions(Map.of("p1", "v1", "p2", "v2"));
  }

  /** A stream must not be granted a free slot of another version. */
  @Test
  public void streamsAreGrantedUpstreamsOfTheirVersionOnly() {
    assertEquals(allocator.upstreamOf(allocator.requestOfVersion("v1", "w", 5_000)), "p1");
    assertEquals(allocator.upstreamOf(allocator.requestOfVersion("v2", "w", 5_000)), "p2");
    allocator.requestOfVersion("v1", "w", 5_000);
    RequestId third = allocator.requestOfVersion("v1", "w", 5_000);
    assertFalse(allocator.isGranted(third) || allocator.isRejected(third));
  }

  /** Streams that wait for a full version must not keep others of the same workspace waiting. */
  @Test
  public void waitingForFullVersionDoesNotBlockOthersOfTheWorkspace() {
    for (int index = 0; index < 10; index++) {
      allocator.requestOfVersion("v1", "w", 5_000);
    }
    assertEquals(allocator.upstreamOf(allocator.requestPlain("w", 9_000)), "p2");
  }

  /** Cold upstreams are selected by other rules than the others. */
  @Test
  public void coldUpstreamGetsStreamsOfItsVersionOnly() {
    allocator = SlotAllocatorFixture.withColdUpstreams();
    allocator.publishVersions(Map.of("p1c", "v1", "p2c", "v2"));
    allocator.advance(1_351);
    assertEquals(allocator.upstreamOf(allocator.requestOfVersion("v1", "w", 5_000)), "p1");
    assertEquals(allocator.upstreamOf(allocator.requestOfVersion("v2", "w", 5_000)), "p2");
  }

  @Test
  public void streamWithoutUpstreamOfItsVersionIsRefusedAtOnce() {
    RequestId request = allocator.requestOfVersion("v3", "w", 5_000);
    assertTrue(allocator.isRejected(request));
    assertEquals(allocator.alternativeOf(request), "");
  }

  @Test
  public void leavingUpstreamGetsNoStreamOfItsVersion() {
    allocator.publishVersions(Map.of("p1x", "v1", "p2", "v2"));
    assertTrue(allocator.isRejected(allocator.requestOfVersion("v1", "w", 5_000)));
  }

  @Test
  public void waitingStreamIsRefusedWhenItsVersionGoes() {
    allocator.requestOfVersion("v1", "w", 5_000);
    allocator.requestOfVersion("v1", "w", 5_000);
    RequestId request = allocator.requestOfVersion("v1", "w", 5_000);
    allocator.publishVersions(Map.of("p2", "v2"));
    allocator.advance(25);
    assertTrue(allocator.isRejected(request));
  }

  /** A router must not be sent to a data centre that has upstreams of another version only. */
  @Test
  public void alternativeHasTheVersion() {
    allocator.dispatch(
        new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "b1")));
    allocator.publishVersions(Map.of("p2", "v2", "b-p3", "v3"));
    assertEquals(allocator.alternativeOf(allocator.requestOfVersion("v1", "w", 5_000)), "");
    assertEquals(allocator.alternativeOf(allocator.requestOfVersion("v3", "w", 5_000)), "b1");
  }

  /**
   * Streams of one version have fewer upstreams than new requests. Rejected by the same estimate,
   * they go on less often than new ones begin.
   */
  @Test
  public void streamIsNotRejectedForTheWaitBehindNewRequests() {
    for (int slot = 0; slot < 4; slot++) {
      allocator.requestPlain("w", 60_000);
    }
    for (int index = 0; index < 70; index++) {
      allocator.requestPlain("first", 60_000);
    }
    assertTrue(allocator.isRejected(allocator.requestPlain("w", 400)));
    RequestId stream = allocator.requestOfVersion("v1", "w", 400);
    assertFalse(allocator.isRejected(stream) || allocator.isGranted(stream));
    allocator.advance(1_000);
    assertTrue(allocator.isRejected(stream));
  }

  /** A new request that is due earlier must not take the slot from a stream whose caller waits. */
  @Test
  public void streamThatGoesOnIsServedBeforeNewRequestsOfItsWorkspace() {
    RequestId running = allocator.requestOfVersion("v1", "w", 60_000);
    for (int slot = 0; slot < 3; slot++) {
      allocator.requestPlain("w", 60_000);
    }
    final RequestId first = allocator.requestPlain("w", 2_000);
    final RequestId stream = allocator.requestOfVersion("v1", "w", 8_000);
    allocator.sendChange(PLAIN, running, SlotStage.COMPLETED, 0);
    assertEquals(allocator.upstreamOf(stream), "p1");
    assertFalse(allocator.isGranted(first));
  }

  /** An upstream that crashed may be back with another version before its entry is. */
  @Test
  public void streamWaitsForTheEntryOfUpstreamWhoseConnectionsBroke() {
    breakConnection();
    allocator.advance(400);
    RequestId stream = allocator.requestOfVersion("v1", "w", 5_000);
    assertFalse(allocator.isGranted(stream));
    allocator.publishVersions(Map.of("p1rc", "v1", "p2", "v2"));
    allocator.advance(25);
    assertTrue(allocator.isGranted(stream));
  }

  /** No other process can have started so soon. */
  @Test
  public void streamGoesOnAtOnceWhereConnectionBroke() {
    breakConnection();
    allocator.advance(200);
    assertTrue(allocator.isGranted(allocator.requestOfVersion("v1", "w", 5_000)));
  }

  /** A reset of connections must not keep streams away for long. */
  @Test
  public void responseToEarlierRequestShowsThatTheProcessStillRuns() {
    RequestId earlier = allocator.requestOfVersion("v1", "w", 5_000);
    breakConnection();
    allocator.advance(400);
    RequestId stream = allocator.requestOfVersion("v1", "w", 5_000);
    assertFalse(allocator.isGranted(stream));
    allocator.sendChange(PLAIN, earlier, SlotStage.RESPONSE_STARTED, 0);
    assertTrue(allocator.isGranted(stream));
  }

  /** Guards against streams that stay away although a response goes on to its end. */
  @Test
  public void completeResponseToEarlierRequestShowsThatTheProcessStillRuns() {
    RequestId earlier = allocator.requestOfVersion("v1", "w", 5_000);
    allocator.sendChange(PLAIN, earlier, SlotStage.RESPONSE_STARTED, 0);
    breakConnection();
    allocator.advance(400);
    RequestId stream = allocator.requestOfVersion("v1", "w", 5_000);
    assertFalse(allocator.isGranted(stream));
    allocator.sendChange(PLAIN, earlier, SlotStage.COMPLETED, 0);
    assertTrue(allocator.isGranted(stream));
  }

  /** Guards against streams that stay away, or lose their version, while connections are reset. */
  @Test
  public void responsesShowThatTheProcessStillRunsWhileConnectionsBreak() {
    RequestId earlier = allocator.requestOfVersion("v1", "w", 5_000);
    breakConnection();
    allocator.advance(250);
    breakConnection();
    allocator.advance(150);
    allocator.sendChange(PLAIN, earlier, SlotStage.COMPLETED, 0);
    RequestId later = allocator.requestOfVersion("v1", "w", 5_000);
    assertEquals(allocator.upstreamOf(later), "p1");
    allocator.advance(200);
    allocator.sendChange(PLAIN, later, SlotStage.RESPONSE_STARTED, 0);
    allocator.advance(1_000);
    assertTrue(allocator.isGranted(allocator.requestOfVersion("v1", "w", 5_000)));
  }

  /** A response may have come before the break and be reported after it. */
  @Test
  public void responseThatMayHaveComeBeforeTheBreakShowsNothing() {
    RequestId earlier = allocator.requestOfVersion("v1", "w", 5_000);
    breakConnection();
    allocator.advance(100);
    allocator.sendChange(PLAIN, earlier, SlotStage.RESPONSE_STARTED, 0);
    allocator.advance(300);
    assertFalse(allocator.isGranted(allocator.requestOfVersion("v1", "w", 5_000)));
  }

  /** The other process may have started long before a request finds it. */
  @Test
  public void streamIsNotContinuedWhereTheProcessIsNotTheListedOne() {
    RequestId earlier = allocator.requestOfVersion("v1", "w", 5_000);
    endRequest(SlotStage.REPLACED);
    RequestId stream = allocator.requestOfVersion("v1", "w", 5_000);
    allocator.sendChange(PLAIN, earlier, SlotStage.RESPONSE_STARTED, 0);
    allocator.advance(100);
    assertFalse(allocator.isGranted(stream) || allocator.isRejected(stream));
    allocator.publishVersions(Map.of("p1r", "v1", "p2", "v2"));
    allocator.advance(25);
    assertTrue(allocator.isGranted(stream));
  }

  /** The report of a router whose list is behind must not keep streams away for good. */
  @Test
  public void streamIsContinuedAgainOnceTheEntryShouldBeListed() {
    endRequest(SlotStage.REPLACED);
    allocator.advance(4_900);
    RequestId stream = allocator.requestOfVersion("v1", "w", 5_000);
    assertFalse(allocator.isGranted(stream));
    allocator.advance(200);
    assertTrue(allocator.isGranted(stream));
  }

  /** Lets a request of p1 end with its connection. */
  private void breakConnection() {
    endRequest(SlotStage.DISCONNECTED);
  }

  private void endRequest(SlotStage stage) {
    RequestId request = allocator.requestOfVersion("v1", "w", 5_000);
    assertEquals(allocator.upstreamOf(request), "p1");
    allocator.sendChange(PLAIN, request, stage, 0);
  }

  /** Without an incarnation an entry that changes its version names another process. */
  @Test
  public void requestThatWaitsIsGrantedByTheNewestEntry() {
    allocator.publishVersions(Map.of("p1", "v2", "p2", "v2"));
    assertTrue(allocator.isRejected(allocator.requestOfVersion("v1", "w", 5_000)));
    allocator.requestOfVersion("v2", "w", 5_000);
    allocator.requestOfVersion("v2", "w", 5_000);
    assertTrue(allocator.isGranted(allocator.requestOfVersion("v2", "w", 5_000)));
  }
}
