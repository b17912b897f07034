package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.ReceivedLoad;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsChanged;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.EngineProfile;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.ServiceKind;
import dev.agatepier.core.version.SlotAllocationMode;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Compares methods to choose an upstream, on the decisions of slot allocators and on engines of
 * unequal speed, with the same arrivals for each method. All allocators send to all engines.
 *
 * <p>Arguments: seeds, simulated seconds, load as a share of the capacity. Prints the table of
 * docs/design/even-load.md.
 */
public final class EvenLoadExperiment {

  private static final String SERVICE = "m";
  private static final String ROUTER = "r";
  private static final double[] SPEEDS = {0.7, 0.7, 1.7};
  private static final int PREFIXES = 300;
  private static final int PREFIX_TOKENS = 3_000;
  private static final int OBJECTIVE_MILLIS = 1_000;
  private static final int WARM_MILLIS = 4_000;
  private static final int OVERLOAD_MILLIS = 300;
  private static final int TICK_MILLIS = 25;
  private static final int REGION_MILLIS = 20;
  private static final long MILLI = 1_000_000;

  /** Mean work of a request at the usual speed if three in five find their prefix cached. */
  private static final double MEAN_WORK_MILLIS = 58;

  /** Mean slowdown by other programs. */
  private static final double MEAN_SLOWDOWN = 1.225;

  private final Method method;
  private final Setup setup;
  private final Random arrivals;
  private final Random choices;
  private final List<PacedEngine> engines = new ArrayList<>();
  private final List<Allocator> allocators = new ArrayList<>();
  private final PriorityQueue<Action> actions = new PriorityQueue<>();
  private final List<Double> firstEvents = new ArrayList<>();
  private final double[] pendingSum;
  private final double[] pendingSquares;
  private long nowMillis;
  private long actionCount;
  private long lastNumber;
  private long measuredMillis;
  private double overload;
  private double wasted;
  private int rejected;
  private int arrived;
  private int reservations;

  /** What is compared. */
  private enum Method {
    NO_REPORTS("as before, without reports"),
    NO_REPORTS_WAIT_1("without reports, wait weighted 1"),
    WAIT_03("(a) least expected time, wait weighted 0.3"),
    WAIT_06("(a) least expected time, wait weighted 0.6"),
    WAIT_1("(a) least expected time, wait weighted 1"),
    TWO("(b) two random candidates"),
    SHARES("(c) shares by throughput"),
    RESERVED("(d) reserved before sending");

    private final String title;

    Method(String title) {
      this.title = title;
    }
  }

  /** One setting of the experiment. */
  private record Setup(
      long seed, int seconds, double load, int engines, int allocators, int ageMillis) {}

  /** A request at an allocator. */
  private record Call(Allocator allocator, WaitingCall waiting, long arrivedMillis) {}

  private record Action(long atMillis, long number, Runnable body) implements Comparable<Action> {
    @Override
    public int compareTo(Action other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime == 0 ? Long.compare(number, other.number) : byTime;
    }
  }

  private EvenLoadExperiment(Method method, Setup setup) {
    this.method = method;
    this.setup = setup;
    this.arrivals = new Random(setup.seed());
    this.choices = new Random(setup.seed() + 1);
    this.pendingSum = new double[setup.engines()];
    this.pendingSquares = new double[setup.engines()];
    for (int index = 0; index < setup.engines(); index++) {
      int number = index;
      engines.add(
          new PacedEngine(
              SPEEDS[index % SPEEDS.length],
              setup.seed() * 1_000 + index,
              job -> onStarted(number, job),
              job -> onCompleted(number, job)));
    }
    for (int index = 0; index < setup.allocators(); index++) {
      allocators.add(new Allocator());
    }
  }

  /** Runs all settings and prints the table. */
  public static void main(String[] arguments) {
    int seeds = Integer.parseInt(arguments[0]);
    int seconds = Integer.parseInt(arguments[1]);
    double load = Double.parseDouble(arguments[2]);
    int[][] settings = {
      {7, 1, 0},
      {7, 1, 100},
      {7, 1, 500},
      {7, 3, 100},
      {40, 6, 0},
      {40, 6, 100},
      {40, 6, 500},
      {240, 6, 100},
    };
    System.out.println(
        "| engines | allocators | age ms | method | overload | wasted | CV busy | oscillation ms"
            + " | first event p50 ms | p99 ms | late or rejected | prefixes a request |");
    System.out.println("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (int[] each : settings) {
      boolean large = each[0] > 100;
      for (Method method : Method.values()) {
        double[] sums = new double[8];
        int runs = large ? 1 : seeds;
        for (int seed = 1; seed <= runs; seed++) {
          Setup setup = new Setup(seed, large ? 2 : seconds, load, each[0], each[1], each[2]);
          double[] figures = new EvenLoadExperiment(method, setup).run();
          Arrays.setAll(sums, index -> sums[index] + figures[index] / runs);
        }
        System.out.printf(
            "| %d | %d | %d | %s | %.3f | %.3f | %.2f | %.0f | %.0f | %.0f | %.3f | %.2f |%n",
            each[0],
            each[1],
            each[2],
            method.title,
            sums[0],
            sums[1],
            sums[2],
            sums[3],
            sums[4],
            sums[5],
            sums[6],
            sums[7]);
      }
    }
  }

  private double[] run() {
    double rate = 0;
    for (int index = 0; index < setup.engines(); index++) {
      rate += setup.load() / (MEAN_WORK_MILLIS * MEAN_SLOWDOWN * SPEEDS[index % SPEEDS.length]);
    }
    double nextArrival = 0;
    long end = WARM_MILLIS + setup.seconds() * 1_000L;
    while (nowMillis < end) {
      while (nextArrival <= nowMillis) {
        arrive();
        nextArrival += -Math.log(1 - arrivals.nextDouble()) / rate;
      }
      while (!actions.isEmpty() && actions.peek().atMillis() <= nowMillis) {
        actions.poll().body().run();
      }
      engines.forEach(PacedEngine::step);
      if (nowMillis % TICK_MILLIS == 0) {
        allocators.forEach(Allocator::tick);
      }
      if (nowMillis == WARM_MILLIS) {
        engines.forEach(PacedEngine::resetCounts);
      }
      if (nowMillis >= WARM_MILLIS) {
        measure();
      }
      nowMillis++;
    }
    return report();
  }

  private void arrive() {
    Allocator allocator = allocators.get(arrivals.nextInt(allocators.size()));
    double skewed = arrivals.nextDouble() * arrivals.nextDouble();
    int prefix = (int) (PREFIXES * skewed);
    boolean large = arrivals.nextDouble() < 0.15;
    int own = large ? 4_000 + arrivals.nextInt(8_000) : 200 + arrivals.nextInt(1_300);
    int output = 60 + arrivals.nextInt(240);
    RequestId id = new RequestId(ROUTER, 1, ++lastNumber);
    PromptMetadata prompt =
        new PromptMetadata(
            "m",
            PREFIX_TOKENS + own,
            output,
            List.of(new PromptPart("p" + prefix, PREFIX_TOKENS), new PromptPart("own " + id, own)));
    WaitingCall waiting =
        new WaitingCall(
            id,
            "w" + arrivals.nextInt(4),
            "",
            OBJECTIVE_MILLIS,
            15_000,
            true,
            false,
            Optional.of(prompt));
    arrived += nowMillis >= WARM_MILLIS ? 1 : 0;
    allocator.want(new Call(allocator, waiting, nowMillis));
  }

  private void after(long millis, Runnable body) {
    actions.add(new Action(nowMillis + millis, ++actionCount, body));
  }

  private void onStarted(int engine, PacedEngine.Job job) {
    Call call = (Call) job.request;
    if (call.arrivedMillis() >= WARM_MILLIS) {
      firstEvents.add((double) nowMillis - call.arrivedMillis());
    }
    Optional<ReceivedLoad> load =
        Optional.of(
            new ReceivedLoad(
                engines
                    .get(engine)
                    .report(
                        setup.ageMillis(), method.ordinal() > Method.NO_REPORTS_WAIT_1.ordinal()),
                setup.ageMillis()));
    SlotChange change =
        new SlotChange(
            call.waiting().request(), name(engine), SlotStage.RESPONSE_STARTED, 0, 0, load);
    after(newsMillis(), () -> call.allocator().change(change));
  }

  private void onCompleted(int engine, PacedEngine.Job job) {
    Call call = (Call) job.request;
    SlotChange change =
        new SlotChange(
            call.waiting().request(), name(engine), SlotStage.COMPLETED, job.outputTokens);
    after(newsMillis(), () -> call.allocator().change(change));
  }

  /** Returns the time until an allocator hears of its own requests: at most the way of a region. */
  private long newsMillis() {
    return Math.min(setup.ageMillis(), REGION_MILLIS);
  }

  private void measure() {
    measuredMillis++;
    int idle = 0;
    int queued = 0;
    for (int index = 0; index < engines.size(); index++) {
      PacedEngine engine = engines.get(index);
      double pending = engine.pendingMillis();
      pendingSum[index] += pending;
      pendingSquares[index] += pending * pending;
      overload += pending > OVERLOAD_MILLIS ? 1 : 0;
      idle += engine.prefills() == 0 ? 1 : 0;
      queued += Math.max(0, engine.prefills() - 1);
    }
    wasted += Math.min(idle, queued);
  }

  private double[] report() {
    double engineMillis = (double) measuredMillis * engines.size();
    double[] busy = engines.stream().mapToDouble(engine -> engine.busyMillis).toArray();
    double mean = Arrays.stream(busy).average().orElseThrow();
    double variance =
        Arrays.stream(busy).map(each -> (each - mean) * (each - mean)).average().orElseThrow();
    double oscillation = 0;
    for (int index = 0; index < engines.size(); index++) {
      double average = pendingSum[index] / measuredMillis;
      oscillation +=
          Math.sqrt(Math.max(0, pendingSquares[index] / measuredMillis - average * average));
    }
    double[] times = firstEvents.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    long late = Arrays.stream(times).filter(time -> time > OBJECTIVE_MILLIS).count();
    int prefilled = engines.stream().mapToInt(engine -> engine.prefixesPrefilled).sum();
    return new double[] {
      overload / engineMillis,
      wasted / engineMillis,
      Math.sqrt(variance) / mean,
      oscillation / engines.size(),
      times[times.length / 2],
      times[times.length * 99 / 100],
      (late + rejected) / (double) arrived,
      prefilled / (double) times.length
    };
  }

  private static String name(int engine) {
    return "e" + engine;
  }

  /** A slot allocator with its routers. */
  private final class Allocator {
    private final List<SlotAllocatorEffect> effects = new ArrayList<>();
    private final Map<RequestId, Call> calls = new HashMap<>();
    private final Map<String, Double> sent = new HashMap<>();
    private final ServiceSlots slots;

    private Allocator() {
      ServiceEntry entry =
          new ServiceEntry(
              SERVICE,
              ServiceKind.MODEL,
              List.of(),
              15_000,
              0.2,
              SlotAllocationMode.ROUTER,
              Optional.of(new EngineProfile(PacedEngine.MEMORY_TOKENS, 6)));
      WorkspaceLedger ledger =
          new WorkspaceLedger(FairOrder.byName("virtual-service"), Double.POSITIVE_INFINITY);
      slots =
          new ServiceSlots(
              entry,
              SlotAllocatorPolicy.DEFAULT,
              ledger,
              new AllocatorRegions(DataCentreRegions.NONE),
              effects,
              upstreams -> this::choose);
      slots.activate(new Table(1, Map.of(), Map.of(SERVICE, entry)), 0);
      List<Upstream> upstreams = new ArrayList<>();
      for (int index = 0; index < engines.size(); index++) {
        upstreams.add(
            new Upstream(name(index), 1, SERVICE, "127.0.0.1", 80, "a", PacedEngine.SLOTS, false));
      }
      slots.upstreams().update(upstreams, Set.of(), 0, Set.of(), 0);
    }

    private UpstreamChoice.Candidate choose(
        WaitingEntry entry, List<UpstreamChoice.Candidate> candidates, long nowNanos) {
      if (candidates.isEmpty()) {
        return null;
      }
      return switch (method) {
        case NO_REPORTS, WAIT_1 -> UpstreamChoice.LOWEST_SCORE.choose(entry, candidates, nowNanos);
        case WAIT_03 -> least(candidates, -0.7);
        case WAIT_06 -> least(candidates, -0.4);
        case NO_REPORTS_WAIT_1 -> least(candidates, 0.7);
        case RESERVED -> least(candidates, 0);
        case TWO ->
            least(
                List.of(
                    candidates.get(choices.nextInt(candidates.size())),
                    candidates.get(choices.nextInt(candidates.size()))),
                0);
        case SHARES -> {
          UpstreamChoice.Candidate least = candidates.getFirst();
          for (UpstreamChoice.Candidate each : candidates) {
            least = shareUsed(each.upstream()) < shareUsed(least.upstream()) ? each : least;
          }
          yield least;
        }
      };
    }

    private double shareUsed(UpstreamLoad upstream) {
      return sent.getOrDefault(upstream.upstream.name(), 0.0) * upstream.millisPerPromptToken();
    }

    /** Returns the candidate with the lowest score if the wait has some more or less weight. */
    private static UpstreamChoice.Candidate least(
        List<UpstreamChoice.Candidate> candidates, double addedWeight) {
      return candidates.stream()
          .min(
              Comparator.comparingDouble(each -> each.score() + addedWeight * each.backlogMillis()))
          .orElseThrow();
    }

    private void want(Call call) {
      calls.put(call.waiting().request(), call);
      message(new SlotsWanted(SERVICE, false, List.of(call.waiting()), List.of()));
    }

    private void change(SlotChange change) {
      message(new SlotsChanged(SERVICE, List.of(change)));
    }

    private void message(SlotMessage message) {
      slots.onMessage(ROUTER, message, nowMillis * MILLI);
      slots.grantSlots(nowMillis * MILLI);
      perform();
    }

    private void tick() {
      slots.grantSlots(nowMillis * MILLI);
      slots.review(nowMillis * MILLI);
      perform();
    }

    private void perform() {
      List<SlotAllocatorEffect> current = List.copyOf(effects);
      effects.clear();
      for (SlotAllocatorEffect effect : current) {
        if (effect instanceof SlotAllocatorEffect.Send(String _, SlotMessage message)) {
          switch (message) {
            case SlotMessage.SlotGranted granted -> onGranted(granted);
            case SlotMessage.SlotRefused refused ->
                rejected += calls.remove(refused.request()).arrivedMillis() >= WARM_MILLIS ? 1 : 0;
            default -> {
              // Engines that are stalled for a moment recover.
            }
          }
        }
      }
    }

    private void onGranted(SlotMessage.SlotGranted granted) {
      Call call = calls.get(granted.request());
      PacedEngine engine = engines.get(Integer.parseInt(granted.upstream().substring(1)));
      if (method == Method.SHARES) {
        sent.merge(granted.upstream(), 1.0, Double::sum);
      }
      if (method != Method.RESERVED) {
        after(1, () -> submit(call, engine));
        return;
      }
      reservations++;
      after(
          2,
          () -> {
            if (engine.pendingMillis() <= SlotAllocatorPolicy.DEFAULT.backlogMillis()
                && engine.requests() < PacedEngine.SLOTS) {
              submit(call, engine);
            } else {
              decline(call, granted.upstream());
            }
          });
    }

    private void submit(Call call, PacedEngine engine) {
      PromptMetadata prompt = call.waiting().prompt().orElseThrow();
      engine.submit(
          new PacedEngine.Job(
              call,
              prompt.parts().getFirst().identity(),
              PREFIX_TOKENS,
              prompt.parts().getLast().tokens(),
              prompt.outputTokens()));
    }

    private void decline(Call call, String engine) {
      WaitingCall last = call.waiting();
      change(new SlotChange(last.request(), engine, SlotStage.DECLINED, 0));
      WaitingCall again =
          new WaitingCall(
              last.request(),
              last.workspace(),
              engine,
              OBJECTIVE_MILLIS - (nowMillis - call.arrivedMillis()),
              last.timeLeftMillis(),
              true,
              false,
              last.prompt());
      want(new Call(this, again, call.arrivedMillis()));
    }
  }
}
