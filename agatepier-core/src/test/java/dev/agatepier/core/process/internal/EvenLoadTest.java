package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.process.SlotAllocatorPolicyBuilder;
import dev.agatepier.core.process.internal.UnevenUpstreams.Behaviour;
import dev.agatepier.core.process.internal.UnevenUpstreams.Engine;
import dev.agatepier.core.process.internal.UnevenUpstreams.Handling;
import dev.agatepier.core.process.internal.UnevenUpstreams.Plain;
import dev.agatepier.core.process.internal.UnevenUpstreams.Statements;
import dev.agatepier.core.version.ServiceKind;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Load on upstreams that are slow, noisy or failing beside each other. */
public class EvenLoadTest {

  private static final SlotAllocatorPolicy WITHOUT_ESTIMATE = SlotAllocatorPolicy.DEFAULT;

  /** Requests of 26 ms on average at the usual pace: about 0.8 of what the engines can do. */
  private static final double INTERVAL_MILLIS = 10;

  /** So many requests that each engine is tried again and again. */
  private static final double OVERLOAD_INTERVAL_MILLIS = 6;

  private UnevenUpstreams engines;

  @BeforeMethod
  public void setUp() {
    engines = engines(Statements.WITH_PACE);
    engines.run(30_000, INTERVAL_MILLIS);
  }

  /** Guards against a slow engine that gets as much as a usual one, or nothing. */
  @Test
  public void slowEngineIsUsedLessAndNotEjected() {
    double usual = (engines.share("usual-1") + engines.share("usual-2")) / 2;
    assertTrue(engines.share("slow") < 0.8 * usual, "shares " + engines.granted);
    assertTrue(engines.share("slow") > 0.2 * usual, "shares " + engines.granted);
    assertFalse(engines.ejected.contains("slow"));
  }

  /** Guards against an engine that is avoided for good because it is slowed now and then. */
  @Test
  public void noisyEngineStaysInUse() {
    double usual = (engines.share("usual-1") + engines.share("usual-2")) / 2;
    assertTrue(engines.share("noisy") > 0.6 * usual, "shares " + engines.granted);
    assertFalse(engines.ejected.contains("noisy"));
  }

  /** Guards against a failing engine that gets requests because it ends them soon. */
  @Test
  public void failingEngineIsEjected() {
    engines.run(10_000, OVERLOAD_INTERVAL_MILLIS);
    assertTrue(engines.ejected.contains("failing"));
    assertTrue(engines.share("failing") < 0.03, "shares " + engines.granted);
  }

  /** Guards against decisions that change where upstreams state no pace. */
  @Test
  public void loadWithoutPaceChangesNoDecision() {
    UnevenUpstreams none = engines(Statements.NONE);
    UnevenUpstreams withoutPace = engines(Statements.WITHOUT_PACE);
    none.run(10_000, INTERVAL_MILLIS);
    withoutPace.run(10_000, INTERVAL_MILLIS);
    assertEquals(withoutPace.grants, none.grants);
    assertEquals(withoutPace.rejected, none.rejected);
    assertTrue(withoutPace.capacity().isEmpty());
  }

  /**
   * Guards against decisions that change where nothing asks for the estimate. The numbers of grants
   * and rejections and the hash of the upstreams of all grants are those of the allocator before it
   * had an estimate.
   */
  @Test
  public void decisionsWithoutStatementsStayTheSame() {
    UnevenUpstreams usual = engines(Statements.NONE);
    usual.run(30_000, 9);
    assertEquals(trace(usual), "3260 grants -1177835274, 0 rejected");
    UnevenUpstreams overloaded = engines(Statements.NONE);
    overloaded.run(30_000, 6);
    assertEquals(trace(overloaded), "3736 grants 1056955239, 1089 rejected");
  }

  /** Guards against random errors that turn the load away from one plain upstream after another. */
  @Test
  public void errorsOfPlainServicesLeaveTheLoadEven() {
    Random random = new Random(11);
    Map<String, Behaviour> upstreams = new TreeMap<>();
    IntStream.rangeClosed(1, 6)
        .forEach(index -> upstreams.put("p" + index, new Plain(40, 0.14, random)));
    SlotAllocatorPolicy policy = new SlotAllocatorPolicyBuilder().evenLoad().build();
    UnevenUpstreams plain =
        new UnevenUpstreams(ServiceKind.PLAIN, 6, policy, Statements.NONE, upstreams);
    List<Integer> unevenness = new ArrayList<>();
    for (int second = 0; second < 20; second++) {
      plain.granted.clear();
      plain.run(1_000, 2);
      unevenness.add(
          Collections.max(plain.granted.values()) - Collections.min(plain.granted.values()));
    }
    double mean = unevenness.stream().mapToInt(Integer::intValue).average().orElseThrow();
    assertTrue(mean < 40, "difference of the grants in a second: " + unevenness);
  }

  private static UnevenUpstreams engines(Statements statements) {
    Map<String, Behaviour> upstreams = new TreeMap<>();
    upstreams.put("usual-1", new Engine(now -> 1));
    upstreams.put("usual-2", new Engine(now -> 1));
    upstreams.put("slow", new Engine(now -> 1.7));
    upstreams.put("noisy", new Engine(now -> now % 4_000 < 600 ? 2.5 : 1));
    upstreams.put("failing", (tokens, now) -> new Handling(2, 2, true, 100));
    return new UnevenUpstreams(ServiceKind.MODEL, 64, WITHOUT_ESTIMATE, statements, upstreams);
  }

  private static String trace(UnevenUpstreams upstreams) {
    return "%d grants %d, %d rejected"
        .formatted(upstreams.grants.size(), upstreams.grants.hashCode(), upstreams.rejected);
  }
}
