package dev.agatepier.core.process;

import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.UpstreamLoadReport;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;

/**
 * Homes of shared prompt prefixes on the decisions of routers and allocators of three data centres,
 * with engines of unequal speed that keep prefixes in memory.
 *
 * <p>Arguments: seeds, simulated seconds. Prints the table of docs/design/prefix-homes.md.
 */
final class PrefixHomesExperiment implements AllocatingFleet.Observer, AllocatingFleet.Engines {

  private static final List<String> DATA_CENTRES = List.of("a", "b", "c");
  private static final List<String> WORKSPACES = List.of("u", "v", "w", "x", "y", "z");
  private static final int ENGINES = 6;
  private static final double[] SPEEDS = {0.7, 0.7, 1.7};
  private static final double SLOWDOWN = 2.5;
  private static final double SLOW_SHARE = 0.15;
  private static final int SLOW_MILLIS = 600;
  private static final double MILLIS_PER_TOKEN = 0.0171;
  private static final double PREFILL_MILLIS = 5;
  private static final long MEMORY_TOKENS = 672_702;
  private static final int PREFIXES = 300;
  private static final int PREFIX_TOKENS = 5_382;
  private static final int LONG_TOKENS = 6_610;
  private static final double LONG_SHARE = 0.15;
  private static final int SHORT_TOKENS = 850;
  private static final int OUTPUT_TOKENS = 60;
  private static final int OBJECTIVE_MILLIS = 1_000;
  private static final int WARM_MILLIS = 8_000;
  private static final CallPlan PLAN =
      new CallPlan("route", true, false, true, 2, 15_000, OBJECTIVE_MILLIS, 400, 0);

  private final Setup setup;
  private final VirtualTime time;
  private final AllocatingFleet fleet;
  private final Random slowness;
  private final Map<String, Engine> engines = new HashMap<>();
  private final Map<RequestId, Long> arrivals = new HashMap<>();
  private final List<Double> firstEvents = new ArrayList<>();
  private final double meanMillis;
  private double pendingMillis;
  private long lastNumber;
  private int arrived;
  private long sharedTokens;
  private int decisions;

  /**
   * One setting.
   *
   * @param policy settings of the slot allocators
   * @param statesPace whether engines state their pace
   * @param hotShare share of the requests that have one prefix
   * @param load requests as a share of what the engines could do if no prefix were ever prefilled
   */
  record Setup(
      SlotAllocatorPolicy policy,
      boolean statesPace,
      double hotShare,
      double load,
      long seed,
      int seconds) {}

  /**
   * What was measured.
   *
   * @param sharedTokens shared tokens prefilled for each request that started
   * @param inTime share of the requests whose response started in time
   * @param p99Millis 99th percentile of the time to the first event
   * @param decisions digest of the upstreams of all requests
   */
  record Figures(double sharedTokens, double inTime, double p99Millis, int decisions) {}

  /** Memory and pace of an engine. */
  private static final class Engine {
    private final Map<String, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final double speed;
    private long cachedTokens;
    private boolean slow;
    private long changeMillis;

    private Engine(double speed) {
      this.speed = speed;
    }

    private double pace() {
      return speed * (slow ? SLOWDOWN : 1);
    }

    /** Returns the tokens of a part that are not in memory, where they are afterwards. */
    private int prefill(PromptPart part) {
      if (cache.put(part.identity(), part.tokens()) != null) {
        return 0;
      }
      cachedTokens += part.tokens();
      while (cachedTokens > MEMORY_TOKENS) {
        cachedTokens -= cache.remove(cache.keySet().iterator().next());
      }
      return part.tokens();
    }
  }

  private PrefixHomesExperiment(Setup setup) {
    this.setup = setup;
    time = new VirtualTime(setup.seed());
    slowness = new Random(setup.seed() + 1);
    fleet =
        new AllocatingFleet(
            time,
            DATA_CENTRES,
            AllocatingRouter.table(WORKSPACES),
            DataCentreRegions.NONE,
            setup.policy(),
            this,
            this);
    double capacity = 0;
    for (int index = 0; index < DATA_CENTRES.size() * ENGINES; index++) {
      double pace = SPEEDS[index % SPEEDS.length] * (1 + SLOW_SHARE * (SLOWDOWN - 1));
      capacity += 1 / pace;
    }
    double tokens = LONG_SHARE * LONG_TOKENS + (1 - LONG_SHARE) * SHORT_TOKENS;
    meanMillis = (PREFILL_MILLIS + MILLIS_PER_TOKEN * tokens) / capacity / setup.load();
  }

  /** Runs one setting. */
  static Figures measure(Setup setup) {
    return new PrefixHomesExperiment(setup).run();
  }

  /** Runs all settings and prints the table. */
  public static void main(String[] arguments) {
    int seeds = Integer.parseInt(arguments[0]);
    int seconds = Integer.parseInt(arguments[1]);
    System.out.println(
        "| prefixes | load | homes | shared tokens prefilled a request | in time | p99 ms |");
    System.out.println("|---|---|---|---|---|---|");
    for (double hotShare : new double[] {0.25, 0}) {
      for (double load : new double[] {0.7, 0.95, 1.3}) {
        for (String homes :
            List.of(SlotAllocatorPolicy.ONE_HOME, SlotAllocatorPolicy.HOMES_BY_LOAD)) {
          double[] sums = new double[3];
          for (int seed = 1; seed <= seeds; seed++) {
            Setup setup = new Setup(policy(homes), true, hotShare, load, seed, seconds);
            Figures figures = measure(setup);
            sums[0] += figures.sharedTokens() / seeds;
            sums[1] += figures.inTime() / seeds;
            sums[2] += figures.p99Millis() / seeds;
          }
          System.out.printf(
              "| %s | %.2f | %s | %.0f | %.3f | %.0f |%n",
              hotShare > 0 ? "one hot and 300" : "300", load, homes, sums[0], sums[1], sums[2]);
        }
      }
    }
  }

  /** Returns the policy of the platform with a number of homes. */
  static SlotAllocatorPolicy policy(String homes) {
    return new SlotAllocatorPolicyBuilder()
        .admission(SlotAllocatorPolicy.VARYING_CAPACITY)
        .prefixHomes(homes)
        .build();
  }

  private Figures run() {
    arrive();
    time.runUntil(WARM_MILLIS + setup.seconds() * 1_000L);
    double[] times = firstEvents.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    long inTime = Arrays.stream(times).filter(each -> each <= OBJECTIVE_MILLIS).count();
    return new Figures(
        sharedTokens / (double) times.length,
        inTime / (double) arrived,
        times[times.length * 99 / 100],
        decisions);
  }

  private void arrive() {
    double wait = -meanMillis * Math.log(1 - time.draw(1_000_000) / 1e6);
    pendingMillis += wait;
    long whole = (long) pendingMillis;
    pendingMillis -= whole;
    time.after(
        whole,
        () -> {
          call();
          arrive();
        });
  }

  private void call() {
    int own =
        time.chance(LONG_SHARE)
            ? LONG_TOKENS / 2 + time.draw(LONG_TOKENS)
            : SHORT_TOKENS / 2 + time.draw(SHORT_TOKENS);
    String prefix = time.chance(setup.hotShare()) ? "hot" : "p" + time.draw(PREFIXES);
    PromptMetadata prompt =
        new PromptMetadata(
            "m",
            PREFIX_TOKENS + own,
            OUTPUT_TOKENS,
            List.of(
                new PromptPart(prefix, PREFIX_TOKENS), new PromptPart("own " + ++lastNumber, own)));
    String dataCentre = DATA_CENTRES.get(time.draw(DATA_CENTRES.size()));
    RequestId request =
        fleet.call(dataCentre, WORKSPACES.get(time.draw(WORKSPACES.size())), PLAN, prompt);
    if (measured()) {
      arrivals.put(request, time.nowMillis());
      arrived++;
    }
  }

  /** Returns whether requests that arrive now are measured, which have time to be served. */
  private boolean measured() {
    return time.nowMillis() >= WARM_MILLIS
        && time.nowMillis() < WARM_MILLIS + setup.seconds() * 1_000L - 2 * OBJECTIVE_MILLIS;
  }

  @Override
  public double prefillMillis(String name, PromptMetadata prompt, long nowMillis) {
    Engine engine = engine(name, nowMillis);
    int shared = engine.prefill(prompt.parts().getFirst());
    sharedTokens += measured() ? shared : 0;
    int own = engine.prefill(prompt.parts().getLast());
    return (PREFILL_MILLIS + MILLIS_PER_TOKEN * (shared + own)) * engine.pace();
  }

  @Override
  public Optional<UpstreamLoadReport> load(String name, long nowMillis) {
    int pace = (int) Math.round(100 * engine(name, nowMillis).pace());
    return setup.statesPace()
        ? Optional.of(new UpstreamLoadReport(0, 0, 64, OptionalInt.of(pace)))
        : Optional.empty();
  }

  private Engine engine(String name, long nowMillis) {
    int index = Integer.parseInt(name.substring(name.indexOf('-') + 1));
    Engine engine = engines.computeIfAbsent(name, key -> new Engine(SPEEDS[index % SPEEDS.length]));
    while (engine.changeMillis <= nowMillis) {
      engine.slow = !engine.slow;
      double mean = engine.slow ? SLOW_MILLIS : SLOW_MILLIS * (1 - SLOW_SHARE) / SLOW_SHARE;
      engine.changeMillis += Math.round(mean * (0.5 + slowness.nextDouble()));
    }
    return engine;
  }

  @Override
  public void onSent(RequestId request, Upstream upstream) {
    decisions = 31 * decisions + (request + upstream.name()).hashCode();
  }

  @Override
  public void onStarted(RequestId request) {
    Long arrival = arrivals.remove(request);
    if (arrival != null) {
      firstEvents.add((double) time.nowMillis() - arrival);
    }
  }

  @Override
  public void onRejected(RequestId request, long retryAfterMillis) {
    arrivals.remove(request);
  }
}
