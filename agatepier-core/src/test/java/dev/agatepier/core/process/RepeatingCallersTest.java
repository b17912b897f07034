package dev.agatepier.core.process;

import static org.testng.Assert.assertTrue;

import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/**
 * Callers ask for about twice what the engines can do and send a rejected request once more. Their
 * objective counts from their first attempt, so that repeated requests which displace new ones make
 * both late.
 */
public class RepeatingCallersTest {

  private static final List<String> DATA_CENTRES = List.of("a1", "b1");
  private static final int WORKSPACES = 6;
  private static final int DURATION_MILLIS = 30_000;
  private static final int INTERVAL_MILLIS = 10;
  private static final int MEAN_TOKENS = 6_000;
  private static final double PREFILL_TOKENS_PER_MILLI = 25;
  private static final CallPlan PLAN =
      new CallPlan("draft", false, true, true, 2, 15_000, 1_000, 300, 1);

  /** A request as its caller sees it. */
  private static final class Asked {
    private final String workspace;
    private final PromptMetadata prompt;
    private final long firstMillis;
    private boolean repeated;

    private Asked(String workspace, PromptMetadata prompt, long firstMillis) {
      this.workspace = workspace;
      this.prompt = prompt;
      this.firstMillis = firstMillis;
    }
  }

  /** The callers of a fleet under one policy, and how many of their requests were served. */
  private static final class Callers implements AllocatingFleet.Observer {
    private final VirtualTime time = new VirtualTime(11);
    private final Map<RequestId, Asked> requests = new HashMap<>();
    private final AllocatingFleet fleet;
    private int inTime;
    private int late;

    private Callers(String admission) {
      List<String> names = IntStream.range(0, WORKSPACES).mapToObj(index -> "w" + index).toList();
      fleet =
          new AllocatingFleet(
              time,
              DATA_CENTRES,
              names,
              SlotAllocatorPolicy.DEFAULT.withAdmission(admission),
              PREFILL_TOKENS_PER_MILLI,
              this);
      time.after(0, this::ask);
      time.runUntil(DURATION_MILLIS);
    }

    private void ask() {
      int tokens = MEAN_TOKENS / 2 + time.draw(MEAN_TOKENS);
      PromptPart own = new PromptPart("own-" + requests.size(), tokens);
      PromptMetadata prompt = new PromptMetadata("m", tokens, 100, List.of(own));
      send(new Asked("w" + time.draw(WORKSPACES), prompt, time.nowMillis()));
      time.after(INTERVAL_MILLIS, this::ask);
    }

    private void send(Asked asked) {
      String dataCentre = DATA_CENTRES.get(time.draw(DATA_CENTRES.size()));
      long timeLeftMillis = PLAN.timeoutMillis() - (time.nowMillis() - asked.firstMillis);
      requests.put(
          fleet.call(dataCentre, asked.workspace, PLAN, asked.prompt, timeLeftMillis), asked);
    }

    @Override
    public void onStarted(RequestId request) {
      long millis = time.nowMillis() - requests.get(request).firstMillis;
      if (millis <= PLAN.objectiveMillis()) {
        inTime++;
      } else {
        late++;
      }
    }

    @Override
    public void onRejected(RequestId request, long retryAfterMillis) {
      // A request may be rejected while it is being sent.
      time.after(
          0,
          () -> {
            Asked asked = requests.get(request);
            if (!asked.repeated) {
              asked.repeated = true;
              time.after(retryAfterMillis, () -> send(asked));
            }
          });
    }
  }

  @Test
  public void newRequestsAreServedInTimeBeforeRepeatedOnes() {
    Callers before = new Callers(SlotAllocatorPolicy.ARRIVAL);
    Callers after = new Callers(SlotAllocatorPolicy.FIRST_ATTEMPT);
    String figures =
        String.format(
            "in time %d, late %d; from the first attempt in time %d, late %d",
            before.inTime, before.late, after.inTime, after.late);
    assertTrue(
        after.inTime > before.inTime && after.late < before.late,
        "more must be in time and fewer late: " + figures);
    assertTrue(
        after.inTime + after.late >= 0.95 * (before.inTime + before.late),
        "engines must not idle: " + figures);
  }
}
