package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.SlotRefused;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.AllowedRegions;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * One plain upstream of two slots, both in use, and a request that waits for one. A request is
 * recognised by its prompt, here named as its caller.
 */
public class RetryOrderTest {

  private static final long TIME_LEFT_MILLIS = 15_000;

  private SlotAllocatorFixture allocator;
  private RequestId running;
  private RequestId waiting;
  private long lastNumber = 1_000;
  private long retryMillis;

  @BeforeMethod
  public void setUp() {
    allocator =
        SlotAllocatorFixture.newWithColdUpstreams(
            new SlotAllocatorPolicyBuilder()
                .admission(SlotAllocatorPolicy.FIRST_ATTEMPT)
                .retryPromises()
                .build(),
            Optional.empty());
    allocator.publishUpstreams("p1");
    running = request("w", "r", 5_000, TIME_LEFT_MILLIS, 0);
    RequestId second = request("w", "r", 5_000, TIME_LEFT_MILLIS, 0);
    assertTrue(allocator.isGranted(running) && allocator.isGranted(second));
    waiting = request("w", "r", 5_000, TIME_LEFT_MILLIS, 0);
    RequestId rejected = request("w", "returning", 1, TIME_LEFT_MILLIS, 0);
    retryMillis = refused(rejected).retryAfterMillis();
  }

  /**
   * The one that kept to its retry time arrives last, so that the order of due times is against it.
   */
  @Test
  public void callerThatKeptToItsRetryTimeIsServedBeforeOneThatIsLateToo() {
    allocator.advance(retryMillis);
    RequestId other = request("w", "r", 400, TIME_LEFT_MILLIS, 2_000);
    RequestId kept = request("w", "returning", 400, TIME_LEFT_MILLIS - retryMillis, 0);
    allocator.sendChange(SlotAllocatorFixture.PLAIN, running, SlotStage.COMPLETED, 1);
    assertTrue(allocator.isGranted(waiting), "one that can be in time comes first");
    allocator.sendChange(SlotAllocatorFixture.PLAIN, waiting, SlotStage.COMPLETED, 1);
    assertTrue(allocator.isGranted(kept));
    assertFalse(allocator.isGranted(other));
  }

  /** An early return must neither wait for a slot nor get a later promise than before. */
  @Test
  public void callerThatComesBackEarlyIsToldTheSameTime() {
    allocator.advance(retryMillis / 2);
    RequestId early = request("w", "returning", 400, TIME_LEFT_MILLIS - retryMillis / 2, 0);
    assertEquals(refused(early).retryAfterMillis(), retryMillis - retryMillis / 2);
  }

  private SlotRefused refused(RequestId request) {
    for (SlotMessage message : allocator.sent) {
      if (message instanceof SlotRefused refused && refused.request().equals(request)) {
        return refused;
      }
    }
    throw new AssertionError(request + " was not rejected");
  }

  private RequestId request(
      String workspace, String caller, long objectiveMillis, long timeLeftMillis, long ageMillis) {
    PromptMetadata prompt = new PromptMetadata("m", 1, 1, List.of(new PromptPart(caller, 1)));
    RequestId request = new RequestId(SlotAllocatorFixture.ROUTER, 1, ++lastNumber);
    WaitingCall call =
        new WaitingCall(
            request,
            workspace,
            "",
            objectiveMillis,
            timeLeftMillis,
            true,
            false,
            ageMillis,
            Optional.of(prompt),
            "r",
            AllowedRegions.ALL);
    allocator.dispatch(
        SlotAllocatorFixture.message(
            new SlotsWanted(SlotAllocatorFixture.PLAIN, false, List.of(call), List.of())));
    return request;
  }
}
