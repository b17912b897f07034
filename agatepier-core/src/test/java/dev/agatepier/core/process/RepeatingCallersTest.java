package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Callers ask for about twice what the engines can do and send a rejected request once more. Their
 * objective counts from their first attempt, so that repeated requests which displace new ones make
 * both late. Some callers repeat at once and more often, whatever retry time they get.
 */
public class RepeatingCallersTest {

  private static final SlotAllocatorPolicy FROM_ARRIVAL =
      new SlotAllocatorPolicyBuilder().admission(SlotAllocatorPolicy.ARRIVAL).build();

  private static final SlotAllocatorPolicy FROM_FIRST_ATTEMPT =
      new SlotAllocatorPolicyBuilder().admission(SlotAllocatorPolicy.FIRST_ATTEMPT).build();

  private static final SlotAllocatorPolicy WITH_PROMISES =
      new SlotAllocatorPolicyBuilder()
          .admission(SlotAllocatorPolicy.FIRST_ATTEMPT)
          .retryPromises()
          .build();

  private static final List<String> DATA_CENTRES = List.of("a1", "b1");
  private static final int WORKSPACES = 6;
  private static final int DURATION_MILLIS = 30_000;
  private static final int INTERVAL_MILLIS = 10;
  private static final int EAGER_PAUSE_MILLIS = 100;
  private static final int EAGER_REPETITIONS = 4;
  private static final int MEAN_TOKENS = 6_000;
  private static final double PREFILL_TOKENS_PER_MILLI = 25;
  private static final CallPlan PLAN =
      new CallPlan("draft", false, true, true, 2, 15_000, 1_000, 300, 1);

  /** A request as its caller sees it. */
  private static final class Asked {
    private final String workspace;
    private final PromptMetadata prompt;
    private final long firstMillis;
    private final boolean eager;
    private int repetitions;

    private Asked(String workspace, PromptMetadata prompt, long firstMillis, boolean eager) {
      this.workspace = workspace;
      this.prompt = prompt;
      this.firstMillis = firstMillis;
      this.eager = eager;
    }

    private boolean repeats() {
      return repetitions < (eager ? EAGER_REPETITIONS : 1);
    }
  }

  /** How many of some requests were served. */
  private static final class Served {
    private int sent;
    private int served;

    private double share() {
      return served / (double) sent;
    }
  }

  /** The callers of a fleet under one policy, and how many of their requests were served. */
  private static final class Callers implements AllocatingFleet.Observer {
    private final VirtualTime time = new VirtualTime(11);
    private final Map<RequestId, Asked> requests = new HashMap<>();
    private final AllocatingFleet fleet;
    private final List<String> decisions = new ArrayList<>();
    private final Served firstTries = new Served();
    private final Served secondTries = new Served();
    private final Served patientCallers = new Served();
    private final Served eagerCallers = new Served();
    private final double eagerShare;
    private int inTime;
    private int late;

    private Callers(SlotAllocatorPolicy policy) {
      this(policy, 0);
    }

    private Callers(SlotAllocatorPolicy policy, double eagerShare) {
      this.eagerShare = eagerShare;
      List<String> names = IntStream.range(0, WORKSPACES).mapToObj(index -> "w" + index).toList();
      fleet =
          new AllocatingFleet(time, DATA_CENTRES, names, policy, PREFILL_TOKENS_PER_MILLI, this);
      time.after(0, this::ask);
      time.runUntil(DURATION_MILLIS);
    }

    private void ask() {
      int tokens = MEAN_TOKENS / 2 + time.draw(MEAN_TOKENS);
      PromptPart own = new PromptPart("own-" + requests.size(), tokens);
      PromptMetadata prompt = new PromptMetadata("m", tokens, 100, List.of(own));
      String workspace = "w" + time.draw(WORKSPACES);
      boolean eager = eagerShare > 0 && time.chance(eagerShare);
      Asked asked = new Asked(workspace, prompt, time.nowMillis(), eager);
      callersLike(asked).sent++;
      send(asked);
      time.after(INTERVAL_MILLIS, this::ask);
    }

    private Served callersLike(Asked asked) {
      return asked.eager ? eagerCallers : patientCallers;
    }

    private Served triesLike(Asked asked) {
      return asked.repetitions == 0 ? firstTries : secondTries;
    }

    private void send(Asked asked) {
      triesLike(asked).sent++;
      String dataCentre = DATA_CENTRES.get(time.draw(DATA_CENTRES.size()));
      long timeLeftMillis = PLAN.timeoutMillis() - (time.nowMillis() - asked.firstMillis);
      requests.put(
          fleet.call(dataCentre, asked.workspace, PLAN, asked.prompt, timeLeftMillis), asked);
    }

    @Override
    public void onStarted(RequestId request) {
      Asked asked = requests.get(request);
      triesLike(asked).served++;
      callersLike(asked).served++;
      decisions.add(time.nowMillis() + " started " + request);
      long millis = time.nowMillis() - asked.firstMillis;
      if (millis <= PLAN.objectiveMillis()) {
        inTime++;
      } else {
        late++;
      }
    }

    @Override
    public void onRejected(RequestId request, long retryAfterMillis) {
      decisions.add(time.nowMillis() + " rejected " + request + " " + retryAfterMillis);
      // A request may be rejected while it is being sent.
      time.after(
          0,
          () -> {
            Asked asked = requests.get(request);
            if (asked.repeats()) {
              asked.repetitions++;
              time.after(asked.eager ? EAGER_PAUSE_MILLIS : retryAfterMillis, () -> send(asked));
            }
          });
    }
  }

  @DataProvider
  public Object[][] policiesFromTheFirstAttempt() {
    return new Object[][] {{FROM_FIRST_ATTEMPT}, {WITH_PROMISES}};
  }

  /** Guards against repeated requests, which are late anyway, that make new ones late. */
  @Test(dataProvider = "policiesFromTheFirstAttempt")
  public void newRequestsAreServedInTimeBeforeRepeatedOnes(SlotAllocatorPolicy policy) {
    Callers before = new Callers(FROM_ARRIVAL);
    Callers after = new Callers(policy);
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

  /**
   * The setting must change nothing for services whose upstreams neither warm up nor state a pace.
   */
  @Test
  public void usualServicesCountFromTheArrivalUnlessCapacityVaries() {
    Callers arrival = new Callers(FROM_ARRIVAL);
    Callers varying =
        new Callers(
            new SlotAllocatorPolicyBuilder()
                .admission(SlotAllocatorPolicy.VARYING_CAPACITY)
                .retryPromises()
                .build());
    assertEquals(
        varying.inTime + " " + varying.late, arrival.inTime + " " + arrival.late, "in time, late");
    assertEquals(varying.decisions, arrival.decisions);
    assertTrue(
        arrival.decisions.stream()
            .filter(decision -> decision.contains("rejected"))
            .allMatch(decision -> decision.endsWith(" 1000")),
        "retry times must be those of the setting");
  }

  /** A caller that was told when to come back must find the capacity that it was promised. */
  @Test
  public void secondTriesAreServedMoreOftenThanFirstOnes() {
    Callers before = new Callers(FROM_ARRIVAL);
    Callers after = new Callers(WITH_PROMISES);
    String figures =
        String.format(
            "first tries %.3f, second %.3f; with promises first %.3f, second %.3f",
            before.firstTries.share(),
            before.secondTries.share(),
            after.firstTries.share(),
            after.secondTries.share());
    assertTrue(before.secondTries.share() < before.firstTries.share(), figures);
    assertTrue(after.secondTries.share() > after.firstTries.share(), figures);
  }

  /** Repeating at once, four times, must not displace those that wait for their retry time. */
  @Test
  public void callersThatRepeatAtOnceGainNothing() {
    Callers before = new Callers(FROM_ARRIVAL, 0.5);
    Callers after = new Callers(WITH_PROMISES, 0.5);
    String figures =
        String.format(
            "patient callers %.3f, eager %.3f; with promises patient %.3f, eager %.3f",
            before.patientCallers.share(),
            before.eagerCallers.share(),
            after.patientCallers.share(),
            after.eagerCallers.share());
    assertTrue(before.patientCallers.share() < before.eagerCallers.share(), figures);
    assertTrue(after.patientCallers.share() > after.eagerCallers.share(), figures);
  }
}
