package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.connection.SlotMessage.ReceivedLoad;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotGranted;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsChanged;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.SlotAllocatorEffect;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.UpstreamLoadReport;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.EngineProfile;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.ServiceKind;
import dev.agatepier.core.version.SlotAllocationMode;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongToDoubleFunction;

/**
 * The slots of one service, allocated in virtual time to upstreams of unequal speed. Requests
 * arrive at random and news of them take a millisecond.
 */
final class UnevenUpstreams {

  static final String SERVICE = "s";
  private static final String ROUTER = "r";
  private static final int TICK_MILLIS = 25;
  private static final long MILLI = 1_000_000;

  /** Slots granted, by upstream. */
  final Map<String, Integer> granted = new TreeMap<>();

  /** Upstream of each grant, in order. */
  final List<String> grants = new ArrayList<>();

  /** Upstreams that got no requests for a time. */
  final Set<String> ejected = new TreeSet<>();

  int rejected;

  private final ServiceKind kind;
  private final Statements statements;
  private final Map<String, Integer> running = new HashMap<>();
  private final Random random;
  private final List<SlotAllocatorEffect> effects = new ArrayList<>();
  private final ServiceSlots slots;
  private final Map<String, Behaviour> behaviours = new TreeMap<>();
  private final Map<RequestId, WaitingCall> calls = new HashMap<>();
  private final PriorityQueue<Action> actions = new PriorityQueue<>();
  private long nowMillis = 1_000;
  private long actionCount;
  private long lastNumber;

  /** What upstreams state in their responses. */
  enum Statements {
    NONE,
    WITHOUT_PACE,
    WITH_PACE
  }

  /** How an upstream handles a request. */
  interface Behaviour {

    /** Returns what becomes of a request that is sent at a time. */
    Handling handle(int promptTokens, long nowMillis);
  }

  /**
   * What becomes of a request.
   *
   * @param startMillis time until its response starts, or until it fails
   * @param totalMillis time until it completes
   * @param failed whether it fails
   * @param pacePercent pace of the machine when the response starts
   */
  record Handling(long startMillis, long totalMillis, boolean failed, int pacePercent) {}

  /** An engine that prefills one prompt after the other, at a pace that may depend on the time. */
  static final class Engine implements Behaviour {
    private final LongToDoubleFunction pace;
    private double freeMillis;

    Engine(LongToDoubleFunction pace) {
      this.pace = pace;
    }

    @Override
    public Handling handle(int promptTokens, long nowMillis) {
      double pace = this.pace.applyAsDouble(nowMillis);
      freeMillis = Math.max(nowMillis, freeMillis) + (5 + 0.0171 * promptTokens) * pace;
      long start = Math.round(freeMillis) - nowMillis;
      return new Handling(
          start, start + Math.round(300 * pace), false, (int) Math.round(100 * pace));
    }
  }

  /** A plain upstream that fails some requests at once. */
  record Plain(int millis, double errorShare, Random random) implements Behaviour {
    @Override
    public Handling handle(int promptTokens, long nowMillis) {
      long time = millis / 2 + random.nextInt(millis);
      return new Handling(time, time, random.nextDouble() < errorShare, 100);
    }
  }

  private record Action(long atMillis, long number, Runnable body) implements Comparable<Action> {
    @Override
    public int compareTo(Action other) {
      int byTime = Long.compare(atMillis, other.atMillis);
      return byTime == 0 ? Long.compare(number, other.number) : byTime;
    }
  }

  UnevenUpstreams(
      ServiceKind kind,
      int slotsEach,
      SlotAllocatorPolicy policy,
      Statements statements,
      Map<String, ? extends Behaviour> upstreams) {
    this.kind = kind;
    this.statements = statements;
    this.random = new Random(7);
    behaviours.putAll(upstreams);
    Optional<EngineProfile> engine =
        kind == ServiceKind.MODEL
            ? Optional.of(new EngineProfile(PacedEngine.MEMORY_TOKENS, 6))
            : Optional.empty();
    ServiceEntry entry =
        new ServiceEntry(SERVICE, kind, List.of(), 15_000, 0.2, SlotAllocationMode.ROUTER, engine);
    slots =
        new ServiceSlots(
            entry,
            policy,
            new WorkspaceLedger(FairOrder.byName("virtual-service"), Double.POSITIVE_INFINITY),
            new AllocatorRegions(DataCentreRegions.NONE),
            effects);
    slots.activate(new Table(1, Map.of(), Map.of(SERVICE, entry)), nowMillis * MILLI);
    slots
        .upstreams()
        .update(
            behaviours.keySet().stream()
                .map(name -> new Upstream(name, 1, SERVICE, "127.0.0.1", 80, "a", slotsEach, false))
                .toList(),
            Set.of(),
            nowMillis * MILLI,
            Set.of(),
            nowMillis * MILLI);
  }

  /** Lets requests arrive for a time, on average one in each {@code intervalMillis}. */
  void run(long millis, double intervalMillis) {
    long end = nowMillis + millis;
    double next = nowMillis;
    for (; nowMillis < end; nowMillis++) {
      for (; next <= nowMillis; next -= intervalMillis * Math.log(1 - random.nextDouble())) {
        arrive();
      }
      while (!actions.isEmpty() && actions.peek().atMillis() <= nowMillis) {
        actions.poll().body().run();
      }
      if (nowMillis % TICK_MILLIS == 0) {
        slots.grantSlots(nowMillis * MILLI);
        slots.review(nowMillis * MILLI);
        perform();
        slots.status(nowMillis * MILLI).upstreams().stream()
            .filter(upstream -> !upstream.usable())
            .forEach(upstream -> ejected.add(upstream.name()));
      }
    }
  }

  /** Returns the share of the grants that an upstream got. */
  double share(String upstream) {
    return granted.getOrDefault(upstream, 0) / (double) grants.size();
  }

  Optional<SlotMessage.MeasuredCapacity> capacity() {
    return slots.measuredCapacity(nowMillis * MILLI);
  }

  private void arrive() {
    RequestId id = new RequestId(ROUTER, 1, ++lastNumber);
    int tokens = 500 + random.nextInt(2_000);
    Optional<PromptMetadata> prompt =
        kind == ServiceKind.MODEL
            ? Optional.of(
                new PromptMetadata("m", tokens, 60, List.of(new PromptPart("p" + id, tokens))))
            : Optional.empty();
    WaitingCall call = new WaitingCall(id, "w", "", 1_000, 15_000, true, false, prompt);
    calls.put(id, call);
    message(new SlotsWanted(SERVICE, false, List.of(call), List.of()));
  }

  private void message(SlotMessage message) {
    slots.onMessage(ROUTER, message, nowMillis * MILLI);
    slots.grantSlots(nowMillis * MILLI);
    perform();
  }

  private void perform() {
    List<SlotAllocatorEffect> current = List.copyOf(effects);
    effects.clear();
    for (SlotAllocatorEffect effect : current) {
      switch (effect) {
        case SlotAllocatorEffect.Send(String _, SlotGranted grant) -> onGranted(grant);
        case SlotAllocatorEffect.Rejected _ -> rejected++;
        default -> {
          // Not looked at.
        }
      }
    }
  }

  private void onGranted(SlotGranted grant) {
    String upstream = grant.upstream();
    granted.merge(upstream, 1, Integer::sum);
    grants.add(upstream);
    int tokens = calls.remove(grant.request()).prompt().map(PromptMetadata::promptTokens).orElse(0);
    Handling handling = behaviours.get(upstream).handle(tokens, nowMillis);
    running.merge(upstream, 1, Integer::sum);
    after(
        handling.failed() ? handling.startMillis() : handling.totalMillis(),
        () -> running.merge(upstream, -1, Integer::sum));
    if (handling.failed()) {
      after(handling.startMillis(), () -> change(grant, SlotStage.FAILED, 0, Optional.empty()));
      return;
    }
    after(
        handling.startMillis(),
        () -> change(grant, SlotStage.RESPONSE_STARTED, 0, load(upstream, handling)));
    long amount = kind == ServiceKind.MODEL ? 60 : handling.totalMillis();
    after(
        handling.totalMillis(), () -> change(grant, SlotStage.COMPLETED, amount, Optional.empty()));
  }

  private Optional<ReceivedLoad> load(String upstream, Handling handling) {
    OptionalInt pace =
        statements == Statements.WITH_PACE
            ? OptionalInt.of(handling.pacePercent())
            : OptionalInt.empty();
    return statements == Statements.NONE
        ? Optional.empty()
        : Optional.of(
            new ReceivedLoad(new UpstreamLoadReport(running.get(upstream), 0, 64, pace), 0));
  }

  private void change(
      SlotGranted grant, SlotStage stage, long amount, Optional<ReceivedLoad> load) {
    SlotChange change = new SlotChange(grant.request(), grant.upstream(), stage, amount, load);
    message(new SlotsChanged(SERVICE, List.of(change)));
  }

  private void after(long millis, Runnable body) {
    actions.add(new Action(nowMillis + Math.max(1, millis), ++actionCount, body));
  }
}
