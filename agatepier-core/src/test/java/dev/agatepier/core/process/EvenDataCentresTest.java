package dev.agatepier.core.process;

import static org.testng.Assert.assertTrue;

import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Upstream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.testng.annotations.Test;

/** Load of two data centres whose demand swings in opposite phases, or in one of them only. */
public class EvenDataCentresTest {

  private static final List<String> DATA_CENTRES = List.of("a", "b");
  private static final double TOKENS_PER_MILLI = 57;
  private static final int PROMPT_TOKENS = 1_200;
  private static final int OBJECTIVE_MILLIS = 500;
  private static final int PERIOD_MILLIS = 17_000;
  private static final double AMPLITUDE = 0.55;

  /** Requests in a millisecond at 0.8 of the capacity of the six engines of a data centre. */
  private static final double BASE_RATE = 0.8 * 6 * TOKENS_PER_MILLI / PROMPT_TOKENS;

  private static final CallPlan PLAN =
      new CallPlan("route", true, false, true, 2, 15_000, OBJECTIVE_MILLIS, 400, 0);

  /** Guards against two data centres that send requests to each other at the same moment. */
  @Test
  public void dataCentresDoNotSendToEachOtherAtOnce() {
    Callers callers = run(new SlotAllocatorPolicyBuilder().evenLoad().build(), true);
    assertTrue(callers.moved() > 200, callers.text());
    assertTrue(callers.mutualWindows() <= 2, callers.text());
  }

  /** Guards against requests that fail in a data centre at its peak while another has room. */
  @Test
  public void peakOfOneDataCentreIsServedByTheOther() {
    Callers callers = run(new SlotAllocatorPolicyBuilder().evenLoad().build(), false);
    assertTrue(callers.lateOrRejected() < 0.005, callers.text());
  }

  private static Callers run(SlotAllocatorPolicy policy, boolean bothSwing) {
    VirtualTime time = new VirtualTime(3);
    Callers callers = new Callers(time);
    AllocatingFleet fleet =
        new AllocatingFleet(time, DATA_CENTRES, List.of("w"), policy, TOKENS_PER_MILLI, callers);
    callers.arrive(fleet, "a", 1);
    callers.arrive(fleet, "b", bothSwing ? -1 : 0);
    time.runUntil(2 * PERIOD_MILLIS);
    return callers;
  }

  private static final class Callers implements AllocatingFleet.Observer {
    private static final int WINDOW_MILLIS = 100;

    private final VirtualTime time;
    private final Map<RequestId, Long> arrivals = new HashMap<>();
    private final Map<String, TreeSet<Long>> windows =
        Map.of("r-a", new TreeSet<>(), "r-b", new TreeSet<>());
    private int arrived;
    private int moved;
    private int late;
    private int rejected;

    private Callers(VirtualTime time) {
      this.time = time;
    }

    /** Lets requests of a data centre arrive, now and from now on. */
    private void arrive(AllocatingFleet fleet, String dataCentre, int phase) {
      double swing = phase * AMPLITUDE * Math.sin(2 * Math.PI * time.nowMillis() / PERIOD_MILLIS);
      double mean = 1 / (BASE_RATE * (1 + swing));
      long wait = Math.round(-mean * Math.log(1 - time.draw(1_000_000) / 1e6));
      time.after(
          wait,
          () -> {
            String own = "own-" + ++arrived;
            PromptMetadata prompt =
                new PromptMetadata(
                    "m", PROMPT_TOKENS, 60, List.of(new PromptPart(own, PROMPT_TOKENS)));
            RequestId request = fleet.call(dataCentre, "w", PLAN, prompt);
            arrivals.put(request, time.nowMillis());
            arrive(fleet, dataCentre, phase);
          });
    }

    @Override
    public void onSent(RequestId request, Upstream upstream) {
      if (!upstream.dataCentre().equals(request.router().substring(2))) {
        moved++;
        windows.get(request.router()).add(time.nowMillis() / WINDOW_MILLIS);
      }
    }

    @Override
    public void onStarted(RequestId request) {
      late += time.nowMillis() - arrivals.get(request) > OBJECTIVE_MILLIS ? 1 : 0;
    }

    @Override
    public void onRejected(RequestId request, long retryAfterMillis) {
      rejected++;
    }

    private int moved() {
      return moved;
    }

    private double lateOrRejected() {
      return (late + rejected) / (double) arrived;
    }

    /** Returns the windows in which requests moved in both directions. */
    private int mutualWindows() {
      TreeSet<Long> both = new TreeSet<>(windows.get("r-a"));
      both.retainAll(windows.get("r-b"));
      return both.size();
    }

    private String text() {
      return "arrived %d, moved %d, windows with moves %d and %d, mutual %d, late %d, rejected %d"
          .formatted(
              arrived,
              moved,
              windows.get("r-a").size(),
              windows.get("r-b").size(),
              mutualWindows(),
              late,
              rejected);
    }
  }
}
