package dev.agatepier.core.process;

import static org.testng.Assert.assertTrue;

import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.DataCentreRegions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntUnaryOperator;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Workspaces of very different demand ask a fleet of several data centres for too much. */
public class WorkspaceSharesTest {

  private static final List<String> DATA_CENTRES = List.of("a1", "a2", "b1", "b2", "c1", "c2");
  private static final int SECONDS = 24;
  private static final int WINDOW_SECONDS = 6;

  /** Minimum of what a workspace gets, relative to what it is entitled to in a window. */
  private static final double MINIMUM_SHARE = 0.5;

  /** Differences of a few requests between workspaces are allowed. */
  private static final int TOLERATED_REQUESTS = 3;

  private static final int WORKSPACES = 30;

  /** Number of workspaces whose demand grows in the second below. */
  private static final int TAKING_OVER = 10;

  private static final int TAKEOVER_SECOND = 8;

  /** Time after which an idle workspace's demand is looked at again. */
  private static final int RECONSIDER_MILLIS = 1_000;

  private static final double PREFILL_TOKENS_PER_MILLI = 25;

  /** Share of a workspace's requests that come through the data centre that it prefers. */
  private static final double PREFERRED_SHARE = 0.9;

  private static final long COST_WINDOW_MILLIS = 4_000;

  private static final List<Kind> KINDS =
      List.of(
          new Kind("draft", 0.25, 12_000, 380, 1_000),
          new Kind("suggestion", 0.39, 830, 290, 500),
          new Kind("check", 0.36, 2_400, 24, 500));

  /** A kind of request; half of the prompt varies. */
  private record Kind(
      String name, double share, int promptTokens, int outputTokens, long objectiveMillis) {

    private CallPlan plan() {
      return new CallPlan(name, false, true, true, 2, 15_000, objectiveMillis, 300, 1);
    }
  }

  /** What a workspace got relative to what it was entitled to. */
  private record Share(double share, String text) {}

  /** Demand of one workspace in tokens a second, which changes at times. */
  private interface Demand {
    double tokensPerSecond(int workspace, double second);
  }

  /** A request as its workspace sees it. */
  private static final class Asked {
    private final int workspace;
    private final Kind kind;
    private final PromptMetadata prompt;
    private final long arrivedMillis;
    private boolean repeated;

    private Asked(int workspace, Kind kind, PromptMetadata prompt, long arrivedMillis) {
      this.workspace = workspace;
      this.kind = kind;
      this.prompt = prompt;
      this.arrivedMillis = arrivedMillis;
    }
  }

  /** Callers of all workspaces, who send a rejected request once more, and what they got. */
  private static final class Callers implements AllocatingFleet.Observer {
    private final VirtualTime time;
    private final IntUnaryOperator preferred;
    private final Map<RequestId, Asked> requests = new HashMap<>();
    private final double[][] asked = new double[WORKSPACES][SECONDS];
    private final double[][] got = new double[WORKSPACES][SECONDS];
    private final boolean[][] unsatisfied = new boolean[WORKSPACES][SECONDS];
    private final double[] largest = new double[WORKSPACES];
    private AllocatingFleet fleet;

    private Callers(VirtualTime time, IntUnaryOperator preferred) {
      this.time = time;
      this.preferred = preferred;
    }

    private int second() {
      return (int) Math.min(SECONDS - 1, time.nowMillis() / 1_000);
    }

    private void ask(int workspace) {
      double drawn = time.draw(100) / 100.0;
      Kind kind =
          drawn < KINDS.get(0).share
              ? KINDS.get(0)
              : drawn < KINDS.get(0).share + KINDS.get(1).share ? KINDS.get(1) : KINDS.get(2);
      int tokens = kind.promptTokens / 2 + time.draw(kind.promptTokens);
      PromptPart own = new PromptPart("own-" + requests.size(), tokens);
      PromptMetadata prompt = new PromptMetadata("m", tokens, kind.outputTokens, List.of(own));
      Asked request = new Asked(workspace, kind, prompt, time.nowMillis());
      asked[workspace][second()] += prompt.expectedCost();
      largest[workspace] = Math.max(largest[workspace], prompt.expectedCost());
      send(request);
    }

    private void send(Asked request) {
      int dataCentre =
          time.chance(PREFERRED_SHARE)
              ? preferred.applyAsInt(request.workspace)
              : time.draw(DATA_CENTRES.size());
      requests.put(
          fleet.call(
              DATA_CENTRES.get(dataCentre),
              name(request.workspace),
              request.kind.plan(),
              request.prompt),
          request);
    }

    @Override
    public void onStarted(RequestId id) {
      Asked request = requests.get(id);
      got[request.workspace][second()] += request.prompt.expectedCost();
      if (time.nowMillis() - request.arrivedMillis > request.kind.objectiveMillis) {
        unsatisfied[request.workspace][second()] = true;
      }
    }

    @Override
    public void onRejected(RequestId id, long retryAfterMillis) {
      // A request may be rejected while it is being sent.
      time.after(0, () -> reject(requests.get(id), retryAfterMillis));
    }

    private void reject(Asked request, long retryAfterMillis) {
      unsatisfied[request.workspace][second()] = true;
      if (!request.repeated) {
        request.repeated = true;
        time.after(retryAfterMillis, () -> send(request));
      }
    }

    /** Returns the lowest share of what a workspace is entitled to, over all windows. */
    private Share worstShare() {
      Share worst = new Share(Double.MAX_VALUE, "all are satisfied");
      for (int first = 0; first + WINDOW_SECONDS <= SECONDS; first++) {
        int[] window = IntStream.range(first, first + WINDOW_SECONDS).toArray();
        for (int one = 0; one < WORKSPACES; one++) {
          for (int other = 0; other < WORKSPACES; other++) {
            Share share = share(one, other, window);
            worst = share.share() < worst.share() ? share : worst;
          }
        }
      }
      return worst;
    }

    /** Returns what a workspace got of its share, if it is unsatisfied in each second. */
    private Share share(int one, int other, int[] window) {
      double entitled = -TOLERATED_REQUESTS * largest[one];
      for (int second : window) {
        entitled += Math.min(asked[one][second], got[other][second]);
      }
      if (entitled <= 0 || !IntStream.of(window).allMatch(second -> unsatisfied[one][second])) {
        return new Share(Double.MAX_VALUE, "");
      }
      String text =
          String.format(
              "from second %d on %s got %.0f of %.0f tokens, %s %.0f",
              window[0],
              name(one),
              sum(got[one], window),
              sum(asked[one], window),
              name(other),
              sum(got[other], window));
      return new Share(sum(got[one], window) / entitled, text);
    }
  }

  private static double sum(double[] values, int[] seconds) {
    return IntStream.of(seconds).mapToDouble(second -> values[second]).sum();
  }

  private static String name(int workspace) {
    return "w" + workspace;
  }

  /** Demand that falls with the square of a workspace's rank. */
  private static Demand steady(double tokensPerSecond) {
    double all = IntStream.range(0, WORKSPACES).mapToDouble(WorkspaceSharesTest::weight).sum();
    return (workspace, second) -> tokensPerSecond * weight(workspace) / all;
  }

  private static double weight(int rank) {
    return 1.0 / ((rank + 1) * (rank + 1));
  }

  /** Demand of ten workspaces that grows to twelve times as much for six seconds. */
  private static Demand burst(Demand usual) {
    return (workspace, second) ->
        usual.tokensPerSecond(workspace, second)
            * (workspace >= 3 && workspace < 13 && second > 6 && second < 13 ? 12 : 1);
  }

  /** Demand of ten workspaces that grows from little to twice the capacity of the fleet. */
  private static Demand takeover() {
    return (workspace, second) ->
        workspace == 0
            ? 6_000_000
            : workspace > TAKING_OVER ? 1_000 : second < TAKEOVER_SECOND ? 40_000 : 1_200_000;
  }

  @DataProvider
  public static Object[][] demands() {
    IntUnaryOperator spread = workspace -> workspace % DATA_CENTRES.size();
    IntUnaryOperator crowded = workspace -> 0;
    return new Object[][] {
      {steady(3_000_000), spread, 1},
      {steady(6_000_000), spread, 1},
      {steady(6_000_000), spread, 2},
      {steady(6_000_000), crowded, 1},
      {burst(steady(3_000_000)), spread, 2},
    };
  }

  /**
   * Most callers of a workspace use one data centre, where its share may not be available.
   *
   * @param preferred returns the data centre that a workspace prefers
   */
  @Test(dataProvider = "demands")
  public void workspacesGetHalfOfTheirShareInEachWindow(
      Demand demand, IntUnaryOperator preferred, long seed) {
    Share worst = serve(demand, preferred, seed).worstShare();
    assertTrue(worst.share() >= MINIMUM_SHARE, worst.text());
  }

  /** A workspace that had most of the capacity must not wait until all others had as much. */
  @Test
  public void workspaceThatHadTheCapacityGetsHalfAsMuchAsOthersThatTakeOver() {
    Callers callers = serve(takeover(), workspace -> workspace % DATA_CENTRES.size(), 2);
    for (int first = TAKEOVER_SECOND + 1; first + WINDOW_SECONDS <= SECONDS; first++) {
      int[] window = IntStream.range(first, first + WINDOW_SECONDS).toArray();
      double former = sum(callers.got[0], window);
      double most =
          IntStream.rangeClosed(1, TAKING_OVER)
              .mapToDouble(workspace -> sum(callers.got[workspace], window))
              .max()
              .orElseThrow();
      assertTrue(
          former >= MINIMUM_SHARE * most,
          String.format("from second %d on %.0f tokens, another %.0f", first, former, most));
    }
  }

  private static Callers serve(Demand demand, IntUnaryOperator preferred, long seed) {
    SlotAllocatorPolicy policy =
        new SlotAllocatorPolicyBuilder().costWindowMillis(COST_WINDOW_MILLIS).build();
    VirtualTime time = new VirtualTime(seed);
    Callers callers = new Callers(time, preferred);
    List<String> names =
        IntStream.range(0, WORKSPACES).mapToObj(WorkspaceSharesTest::name).toList();
    callers.fleet =
        new AllocatingFleet(
            time,
            DATA_CENTRES,
            AllocatingRouter.table(names),
            DataCentreRegions.NONE,
            policy,
            PREFILL_TOKENS_PER_MILLI,
            callers);
    double mean =
        KINDS.stream()
            .mapToDouble(kind -> kind.share * (kind.promptTokens + 2 * kind.outputTokens))
            .sum();
    for (int workspace = 0; workspace < WORKSPACES; workspace++) {
      next(time, callers, demand, workspace, mean);
    }
    time.runUntil(SECONDS * 1_000L);
    return callers;
  }

  /** Schedules the next request of a workspace, and all later ones. */
  private static void next(
      VirtualTime time, Callers callers, Demand demand, int workspace, double mean) {
    double perMilli = demand.tokensPerSecond(workspace, time.nowMillis() / 1e3) / mean / 1e3;
    double millis = -Math.log(1 - time.draw(1_000_000) / 1e6) / perMilli;
    boolean asks = millis <= RECONSIDER_MILLIS;
    time.after(
        asks ? Math.round(millis) : RECONSIDER_MILLIS,
        () -> {
          if (asks) {
            callers.ask(workspace);
          }
          next(time, callers, demand, workspace, mean);
        });
  }
}
