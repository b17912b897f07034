package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.AllowedRegions;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A fleet of three regions with equal capacity, and workspaces that ask it for too much. */
public class AllowedRegionsFleetTest {

  private static final List<String> DATA_CENTRES = List.of("a1", "b1", "c1");
  private static final DataCentreRegions REGIONS =
      new DataCentreRegions(Map.of("a1", "a", "b1", "b", "c1", "c"));
  private static final AllowedRegions ALL = AllowedRegions.ALL;
  private static final CallPlan PLAN = new CallPlan("r", true, false, true, 2, 15_000, 800, 300, 1);
  private static final int PROMPT_TOKENS = 2_000;
  private static final double PREFILL_TOKENS_PER_MILLI = 25;
  private static final int SECONDS = 20;

  /** Seconds after which costs have spread and what workspaces get counts. */
  private static final int COUNTED_AFTER_SECONDS = 4;

  /** Requests a second that the engines of one region prefill. */
  private static final int REGION_CAPACITY = 75;

  /** What workspaces got, as requests, and each upstream call in order. */
  private static final class Callers implements AllocatingFleet.Observer {
    private final VirtualTime time;
    private final Map<RequestId, String> workspaces = new HashMap<>();
    private final Map<String, Integer> got = new TreeMap<>();
    private final List<String> decisions = new ArrayList<>();

    private Callers(VirtualTime time) {
      this.time = time;
    }

    @Override
    public void onSent(RequestId request, Upstream upstream) {
      decisions.add(time.nowMillis() + " " + request + " at " + upstream.name());
    }

    @Override
    public void onStarted(RequestId request) {
      if (time.nowMillis() >= COUNTED_AFTER_SECONDS * 1_000) {
        got.merge(workspaces.get(request), 1, Integer::sum);
      }
    }

    @Override
    public void onRejected(RequestId request, long retryAfterMillis) {
      decisions.add(time.nowMillis() + " " + request + " rejected");
    }

    /** Returns the part of one region's capacity that a workspace got. */
    private double share(String workspace) {
      return got.get(workspace) / (double) (REGION_CAPACITY * (SECONDS - COUNTED_AFTER_SECONDS));
    }
  }

  @DataProvider
  public static Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}};
  }

  /**
   * A list that names every region must change no decision, nor may the knowledge of the regions
   * where there is no list.
   */
  @Test(dataProvider = "seeds")
  public void decisionsWithoutBoundStayTheSame(long seed) {
    Map<String, AllowedRegions> none = workspaces(ALL, 6);
    Map<String, AllowedRegions> every = workspaces(AllowedRegions.only(List.of("a", "b", "c")), 6);
    List<String> expected = serve(seed, none, DataCentreRegions.NONE, 60).decisions;
    assertTrue(expected.stream().anyMatch(line -> line.endsWith("rejected")));
    assertEquals(serve(seed, none, REGIONS, 60).decisions, expected);
    assertEquals(serve(seed, every, REGIONS, 60).decisions, expected);
  }

  /**
   * A workspace bound to one region is entitled to as much of the fleet as one that is not, up to
   * the whole region. It must get it there, and not only its share of that region.
   */
  @Test(dataProvider = "seeds")
  public void boundWorkspaceGetsItsShareOfTheFleetFromItsRegion(long seed) {
    Callers callers = serve(seed, withBound(2, "bound"), REGIONS, 100);
    assertTrue(callers.share("bound") > 0.9, callers.got.toString());
  }

  /** Bound workspaces must not get more of the fleet than others that ask for as much. */
  @Test(dataProvider = "seeds")
  public void boundWorkspaceDoesNotDisplaceOthers(long seed) {
    Callers callers = serve(seed, withBound(8, "bound"), REGIONS, 60);
    double least = callers.got.keySet().stream().mapToDouble(callers::share).min().orElseThrow();
    double most = callers.got.keySet().stream().mapToDouble(callers::share).max().orElseThrow();
    assertTrue(least > most / 2, callers.got.toString());
  }

  /** Workspaces that are bound to the same region share it evenly. */
  @Test(dataProvider = "seeds")
  public void boundWorkspacesShareTheirRegion(long seed) {
    Callers callers = serve(seed, withBound(2, "bound1", "bound2"), REGIONS, 100);
    double one = callers.share("bound1");
    double other = callers.share("bound2");
    assertTrue(Math.min(one, other) > Math.max(one, other) / 2, callers.got.toString());
    assertTrue(one + other > 0.95, callers.got.toString());
  }

  private static Map<String, AllowedRegions> workspaces(AllowedRegions allowed, int count) {
    Map<String, AllowedRegions> workspaces = new TreeMap<>();
    IntStream.range(0, count).forEach(index -> workspaces.put("w" + index, allowed));
    return workspaces;
  }

  private static Map<String, AllowedRegions> withBound(int others, String... bound) {
    Map<String, AllowedRegions> workspaces = workspaces(ALL, others);
    List.of(bound).forEach(name -> workspaces.put(name, AllowedRegions.only(List.of("a"))));
    return workspaces;
  }

  /** Each workspace calls through all data centres alike, with so many requests a second. */
  private static Callers serve(
      long seed, Map<String, AllowedRegions> workspaces, DataCentreRegions regions, int rate) {
    VirtualTime time = new VirtualTime(seed);
    Callers callers = new Callers(time);
    AllocatingFleet fleet =
        new AllocatingFleet(
            time,
            DATA_CENTRES,
            AllocatingRouter.table(workspaces),
            regions,
            new SlotAllocatorPolicyBuilder().costWindowMillis(4_000).build(),
            PREFILL_TOKENS_PER_MILLI,
            callers);
    for (int number = 0; number < rate * SECONDS; number++) {
      for (String name : workspaces.keySet()) {
        time.after(time.draw(SECONDS * 1_000), () -> call(time, fleet, callers, name));
      }
    }
    time.runUntil(SECONDS * 1_000L);
    return callers;
  }

  private static void call(VirtualTime time, AllocatingFleet fleet, Callers callers, String name) {
    int tokens = PROMPT_TOKENS / 2 + time.draw(PROMPT_TOKENS);
    PromptPart own = new PromptPart("own-" + callers.workspaces.size(), tokens);
    PromptMetadata prompt = new PromptMetadata("m", tokens, 100, List.of(own));
    String dataCentre = DATA_CENTRES.get(time.draw(DATA_CENTRES.size()));
    callers.workspaces.put(fleet.call(dataCentre, name, PLAN, prompt), name);
  }
}
