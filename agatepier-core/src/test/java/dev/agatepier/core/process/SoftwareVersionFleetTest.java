package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A fleet whose engines crash and start again with one of two software versions. */
public class SoftwareVersionFleetTest {

  private static final List<String> DATA_CENTRES = List.of("a1", "b1");
  private static final List<String> VERSIONS = List.of("v1", "v2");
  private static final CallPlan PLAN = new CallPlan("r", false, true, true, 4, 15_000, 800, 300, 1);
  private static final int SECONDS = 30;
  private static final int CRASH_INTERVAL_MILLIS = 700;
  private static final int DOWN_MILLIS = 900;
  private static final int EVENTS = 20;
  private static final int OUTPUT_TOKENS = 200;
  private static final int PROMPT_TOKENS = 2_000;
  private static final double PREFILL_TOKENS_PER_MILLI = 25;

  /** What callers received. */
  private static final class Callers implements AllocatingFleet.Observer {
    private final Map<RequestId, List<String>> events = new HashMap<>();
    private final Set<RequestId> calls = new HashSet<>();
    private final Set<RequestId> open = new HashSet<>();

    /** Streams that broke off while two engines of their version ran, with their events so far. */
    private final Map<RequestId, Integer> broken = new HashMap<>();

    @Override
    public void onStarted(RequestId request) {}

    @Override
    public void onRejected(RequestId request, long retryAfterMillis) {
      open.remove(request);
    }

    @Override
    public void onEvent(RequestId request, String version) {
      events.computeIfAbsent(request, id -> new ArrayList<>()).add(version);
      open.add(request);
    }

    @Override
    public void onCompleted(RequestId request) {
      assertEquals(events.get(request).size(), EVENTS);
      open.remove(request);
    }

    private long joined() {
      return events.values().stream().filter(list -> new HashSet<>(list).size() > 1).count();
    }

    private double continuedShare() {
      long continued =
          broken.entrySet().stream()
              .filter(entry -> events.get(entry.getKey()).size() > entry.getValue())
              .count();
      return continued / (double) broken.size();
    }

    private double startedShare() {
      return events.size() / (double) calls.size();
    }
  }

  @DataProvider
  public static Object[][] fleets() {
    List<Object[]> fleets = new ArrayList<>();
    for (long seed = 1; seed <= 3; seed++) {
      fleets.add(new Object[] {seed, 100, 0});
      fleets.add(new Object[] {seed, 700, 0});
      fleets.add(new Object[] {seed, 100, 3_000});
    }
    return fleets.toArray(Object[][]::new);
  }

  /**
   * A stream must hold events of one version only, also when the fleet has more work than room, or
   * when entries are behind the engines that have started again.
   */
  @Test(dataProvider = "fleets")
  public void streamsHoldEventsOfOneVersionAndGoOn(long seed, int rate, int lagMillis) {
    Callers callers = serve(seed, rate, lagMillis);
    assertTrue(callers.broken.size() >= 12, "streams broke off: " + callers.broken.size());
    assertEquals(callers.joined(), 0);
    String shares =
        "%.3f of %d continued, %.3f of %d started"
            .formatted(
                callers.continuedShare(),
                callers.broken.size(),
                callers.startedShare(),
                callers.calls.size());
    assertTrue(callers.continuedShare() >= callers.startedShare() / 2, shares);
  }

  private static Callers serve(long seed, int rate, int lagMillis) {
    VirtualTime time = new VirtualTime(seed);
    Callers callers = new Callers();
    AllocatingFleet fleet =
        new AllocatingFleet(
            time,
            DATA_CENTRES,
            AllocatingRouter.table(List.of("w0", "w1")),
            DataCentreRegions.NONE,
            SlotAllocatorPolicy.DEFAULT,
            new StreamingEngines(),
            callers);
    List<String> engines = fleet.entries().stream().map(Upstream::name).toList();
    for (int index = 0; index < engines.size(); index++) {
      fleet.crash(engines.get(index));
      fleet.restart(engines.get(index), VERSIONS.get(index % 2), 0);
    }
    for (int number = 0; number < rate * SECONDS; number++) {
      time.after(time.draw(SECONDS * 1_000), () -> call(time, fleet, callers));
    }
    for (long at = 1_000; at < SECONDS * 1_000L; at += CRASH_INTERVAL_MILLIS) {
      time.after(
          at, () -> crash(time, fleet, callers, engines.get(time.draw(engines.size())), lagMillis));
    }
    time.runUntil(SECONDS * 1_000L + PLAN.timeoutMillis());
    return callers;
  }

  private static void call(VirtualTime time, AllocatingFleet fleet, Callers callers) {
    int tokens = PROMPT_TOKENS / 2 + time.draw(PROMPT_TOKENS);
    PromptPart own = new PromptPart("own-" + callers.calls.size(), tokens);
    PromptMetadata prompt = new PromptMetadata("m", tokens, OUTPUT_TOKENS, List.of(own));
    String dataCentre = DATA_CENTRES.get(time.draw(DATA_CENTRES.size()));
    callers.calls.add(fleet.call(dataCentre, "w" + time.draw(2), PLAN, prompt));
  }

  /** Lets an engine crash and start again, and records the streams that can go on elsewhere. */
  private static void crash(
      VirtualTime time, AllocatingFleet fleet, Callers callers, String engine, int lagMillis) {
    if (!fleet.runs(engine)) {
      return;
    }
    Upstream entry =
        fleet.entries().stream().filter(each -> each.name().equals(engine)).findFirst().get();
    long others =
        fleet.entries().stream()
            .filter(each -> each.softwareVersion().equals(entry.softwareVersion()))
            .filter(each -> !each.name().equals(engine) && fleet.runs(each.name()))
            .count();
    if (others >= 2) {
      for (RequestId request : fleet.requestsAt(engine)) {
        if (callers.open.contains(request)) {
          callers.broken.put(request, callers.events.get(request).size());
        }
      }
    }
    fleet.crash(engine);
    String version = VERSIONS.get(time.draw(VERSIONS.size()));
    time.after(DOWN_MILLIS, () -> fleet.restart(engine, version, lagMillis));
  }

  /** Engines that prefill at one pace and respond with several events. */
  private static final class StreamingEngines implements AllocatingFleet.Engines {
    @Override
    public double prefillMillis(String engine, PromptMetadata prompt, long nowMillis) {
      return prompt.promptTokens() / PREFILL_TOKENS_PER_MILLI;
    }

    @Override
    public int events() {
      return EVENTS;
    }
  }
}
