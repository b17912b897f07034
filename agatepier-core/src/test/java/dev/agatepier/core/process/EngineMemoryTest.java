package dev.agatepier.core.process;

import static dev.agatepier.core.process.SlotAllocatorFixture.MODEL;
import static org.testng.Assert.assertEquals;

import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.request.RequestId;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Memory of engines that is reserved for running requests. */
public class EngineMemoryTest {

  private static SlotAllocatorFixture allocator(String admission) {
    SlotAllocatorFixture allocator =
        SlotAllocatorFixture.newWithColdUpstreams(
            new SlotAllocatorPolicyBuilder().admission(admission).build(), Optional.empty());
    allocator.publishUpstreams("m1");
    return allocator;
  }

  /** Starts a request and lets it generate some tokens. */
  private static void run(SlotAllocatorFixture allocator, RequestId request, long generated) {
    allocator.sendChange(MODEL, request, SlotStage.RESPONSE_STARTED, 0);
    allocator.sendChange(MODEL, request, SlotStage.COMPLETED, generated);
  }

  /** Returns how many requests with estimates of 50 tokens run at a time if each has 20,000. */
  private static long runningAtOnce(SlotAllocatorFixture allocator) {
    for (int index = 0; index < 40; index++) {
      run(allocator, allocator.requestHinted("w", 100, 50), 20_000);
    }
    List<RequestId> requests =
        IntStream.range(0, 8).mapToObj(index -> allocator.requestHinted("w", 100, 50)).toList();
    return requests.stream().filter(allocator::isGranted).count();
  }

  /** An engine must not get more responses than its memory holds, whatever callers estimate. */
  @Test
  public void memoryIsReservedForTheLengthsThatResponsesShowed() {
    assertEquals(runningAtOnce(allocator(SlotAllocatorPolicy.FIRST_ATTEMPT)), 4);
  }

  /** Where objectives count from the arrival, decisions have to stay as they were. */
  @Test
  public void statedLengthsCountUnlessAskedOtherwise() {
    assertEquals(runningAtOnce(allocator(SlotAllocatorPolicy.ARRIVAL)), 8);
    assertEquals(runningAtOnce(allocator(SlotAllocatorPolicy.VARYING_CAPACITY)), 8);
  }

  /**
   * A cached part that no running request uses is pinned again by the next one, so that its memory
   * must not be regarded as free.
   */
  @Test
  public void cachedPartsThatNoRequestUsesNeedMemory() {
    SlotAllocatorFixture allocator = allocator(SlotAllocatorPolicy.FIRST_ATTEMPT);
    run(allocator, allocator.requestModel("w", 60_000, "shared", 30_000), 100);
    RequestId other = allocator.requestHinted("w", 35_000, 100);
    allocator.sendChange(MODEL, other, SlotStage.RESPONSE_STARTED, 0);
    assertEquals(
        allocator.isGranted(allocator.requestModel("w", 60_000, "shared", 30_000)),
        false,
        "60,000 and 35,000 tokens exceed the share of the memory");
  }

  /** A response that outlives its expectation must not leave its memory to further requests. */
  @Test
  public void reserveGrowsWithWhatWasGenerated() {
    SlotAllocatorFixture allocator = allocator(SlotAllocatorPolicy.FIRST_ATTEMPT);
    RequestId measured = allocator.requestHinted("v", 100, 50);
    allocator.sendChange(MODEL, measured, SlotStage.RESPONSE_STARTED, 0);
    allocator.advance(100);
    allocator.sendChange(MODEL, measured, SlotStage.COMPLETED, 1_000);
    RequestId running = allocator.requestHinted("v", 100, 50);
    allocator.sendChange(MODEL, running, SlotStage.RESPONSE_STARTED, 0);
    allocator.advance(8_000);
    RequestId large = allocator.requestHinted("v", 100, 20_000);
    assertEquals(allocator.isGranted(large), false, "80,000 tokens of memory are in use");
    allocator.sendChange(MODEL, running, SlotStage.COMPLETED, 80_000);
    assertEquals(allocator.isGranted(large), true);
  }
}
