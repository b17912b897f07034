package dev.agatepier.core.process;

import static dev.agatepier.core.process.SlotAllocatorFixture.PLAIN;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage.SlotGranted;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.AllowedRegions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A slot allocator in region a, which also serves the upstreams of region b while that has no
 * router. Each upstream has two slots.
 */
public class AllowedRegionsAllocatorTest {

  private static final AllowedRegions A = AllowedRegions.only(List.of("a"));
  private static final AllowedRegions B = AllowedRegions.only(List.of("b"));
  private static final AllowedRegions ALL = AllowedRegions.ALL;

  private final Map<RequestId, String> held = new HashMap<>();
  private SlotAllocatorFixture allocator;

  @BeforeMethod
  public void setUp() {
    held.clear();
    allocator = new SlotAllocatorFixture("p1", "b-p2");
  }

  /** A fallback allocator must not grant a free slot in a region that is not permitted. */
  @Test
  public void fallbackAllocatorGrantsPermittedUpstreamsOnly() {
    RequestId first = allocator.requestPlainIn(A, "w", 5_000);
    assertEquals(allocator.upstreamOf(first), "p1");
    allocator.requestPlainIn(A, "w", 5_000);
    RequestId third = allocator.requestPlainIn(A, "w", 5_000);
    assertFalse(allocator.isGranted(third) || allocator.isRejected(third));
    assertEquals(allocator.upstreamOf(allocator.requestPlainIn(B, "w", 5_000)), "b-p2");
  }

  /** A cold upstream must not get requests of other regions, whichever scores best. */
  @Test
  public void coldUpstreamGetsPermittedRequestsOnly() {
    allocator = SlotAllocatorFixture.withColdUpstreams("p1c", "b-p2c");
    assertEquals(allocator.upstreamOf(allocator.requestPlainIn(A, "w", 5_000)), "p1");
    assertEquals(allocator.upstreamOf(allocator.requestPlainIn(B, "w", 5_000)), "b-p2");
  }

  /** Requests that wait for a full region must not keep those of the same workspace waiting. */
  @Test
  public void waitingForFullRegionDoesNotBlockOthersOfTheWorkspace() {
    for (int index = 0; index < 10; index++) {
      allocator.requestPlainIn(A, "w", 5_000);
    }
    assertTrue(allocator.isGranted(allocator.requestPlain("w", 9_000)));
  }

  @Test
  public void alternativeIsInPermittedRegion() {
    allocator.dispatch(
        new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "b1")));
    occupy("p1");
    allocator.requestPlainIn(A, "w", 5_000);
    assertEquals(allocator.alternativeOf(allocator.requestPlainIn(A, "w", -1)), "");
    assertEquals(allocator.alternativeOf(allocator.requestPlain("w", -1)), "b1");
  }

  /** Nothing here is permitted: the request must not wait until it is overdue. */
  @Test
  public void requestWithoutPermittedUpstreamIsRefusedAtOnce() {
    allocator.dispatch(
        new SlotAllocatorEvent.RouterConnected(SlotAllocatorFixture.router("r2", "b1")));
    RequestId request = allocator.requestPlainIn(B, "w", 5_000);
    assertTrue(allocator.isRejected(request));
    assertEquals(allocator.alternativeOf(request), "b1");
  }

  @Test
  public void waitingRequestIsRefusedWhenItsLastUpstreamGoes() {
    occupy("p1");
    RequestId request = allocator.requestPlainIn(A, "w", 5_000);
    allocator.publishUpstreams("b-p2");
    allocator.advance(25);
    assertTrue(allocator.isRejected(request));
  }

  /** The router has not read the table yet in which the list of its route became shorter. */
  @Test
  public void newerTableOfTheAllocatorBindsOlderReport() {
    allocator.activateLists(2, B, "other", ALL);
    assertEquals(allocator.upstreamOf(allocator.requestPlainIn(ALL, "w", 5_000)), "b-p2");
  }

  @Test
  public void newerTableOfTheAllocatorBindsRequestsThatWait() {
    occupy("p1", "b-p2");
    RequestId request = allocator.requestPlainIn(ALL, "w", 5_000);
    allocator.activateLists(2, ALL, "w", B);
    release("p1");
    assertFalse(allocator.isGranted(request));
    release("b-p2");
    assertEquals(allocator.upstreamOf(request), "b-p2");
  }

  /** The table that the router took its regions from is at least as new. */
  @Test
  public void tableOfTheSameVersionDoesNotBindAgain() {
    allocator.activateLists(1, B, "other", ALL);
    RequestId request = allocator.requestPlainIn(A, "w", 5_000);
    assertEquals(allocator.upstreamOf(request), "p1");
  }

  /** A report that crosses the grant must not make a request hold one slot and wait for another. */
  @Test
  public void reportThatCrossesItsGrantIsIgnored() {
    RequestId request = allocator.requestPlainIn(ALL, "w", 5_000);
    allocator.report(request, A, "w", 5_000);
    allocator.advance(25);
    assertEquals(grants(request), 1);
  }

  /** The wait for other regions must not count against a request of this region. */
  @Test
  public void expectedWaitCountsPermittedUpstreamsOnly() {
    for (int slot = 0; slot < 2; slot++) {
      allocator.requestPlainIn(A, "w", 60_000);
      allocator.requestPlainIn(B, "w", 60_000);
    }
    // At one upstream the wait behind 28 requests is above 400 ms, at both behind 55.
    for (int index = 0; index < 40; index++) {
      allocator.requestPlainIn(B, "first", 60_000);
    }
    assertFalse(allocator.isRejected(allocator.requestPlainIn(A, "w", 400)));
    assertTrue(allocator.isRejected(allocator.requestPlainIn(B, "w", 400)));
  }

  private void occupy(String... upstreams) {
    for (String upstream : upstreams) {
      AllowedRegions region = upstream.startsWith("b-") ? B : A;
      for (int slot = 0; slot < 2; slot++) {
        held.put(allocator.requestPlainIn(region, "busy", 60_000), upstream);
      }
    }
  }

  private void release(String upstream) {
    RequestId request =
        held.entrySet().stream()
            .filter(entry -> entry.getValue().equals(upstream))
            .findFirst()
            .orElseThrow()
            .getKey();
    held.remove(request);
    allocator.sendChange(PLAIN, request, SlotStage.COMPLETED, 10);
  }

  private long grants(RequestId request) {
    return allocator.sent.stream()
        .filter(SlotGranted.class::isInstance)
        .map(SlotGranted.class::cast)
        .filter(granted -> granted.request().equals(request))
        .count();
  }
}
