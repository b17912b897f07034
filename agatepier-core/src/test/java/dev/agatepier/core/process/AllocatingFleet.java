package dev.agatepier.core.process;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.SlotMessage;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.UpstreamLoadReport;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Routers in several data centres, each the slot allocator of its own, in virtual time. Engines
 * prefill one prompt after the other and decode each response in a fixed time for a token.
 */
final class AllocatingFleet {

  private static final int ENGINES = 6;
  private static final int TICK_MILLIS = 25;
  private static final int REGION_MILLIS = 20;
  private static final int DECODE_MILLIS_PER_TOKEN = 5;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final VirtualTime time;
  private final Observer observer;
  private final Engines engines;
  private final Map<String, Node> nodes = new TreeMap<>();
  private final Map<String, Deque<Prefill>> prefills = new HashMap<>();
  private final Map<String, Process> processes = new HashMap<>();
  private InstanceList instances;
  private long lastNumber;
  private long evacuatedRevision;

  /** Is told what becomes of requests. */
  interface Observer {

    /** Called when a request is sent to an upstream. */
    default void onSent(RequestId request, Upstream upstream) {}

    /** Called when a response starts. */
    void onStarted(RequestId request);

    /** Called when a request is rejected. */
    void onRejected(RequestId request, long retryAfterMillis);

    /** Called when an event is forwarded to a caller; it names the version of its engine. */
    default void onEvent(RequestId request, String version) {}

    /** Called when a response is complete. */
    default void onCompleted(RequestId request) {}
  }

  /** What engines take for the prefill of a prompt, and what they state. */
  interface Engines {

    /** Returns the time for a prompt whose prefill starts now, in milliseconds. */
    double prefillMillis(String engine, PromptMetadata prompt, long nowMillis);

    /** Returns the load that an engine states when a response starts; empty if it states none. */
    default Optional<UpstreamLoadReport> load(String engine, long nowMillis) {
      return Optional.empty();
    }

    /** Returns the number of events of a response. */
    default int events() {
      return 1;
    }
  }

  /** An attempt at an engine. */
  private record Prefill(
      Node node, AttemptId attempt, PromptMetadata prompt, long firstEvent, Process process) {}

  /** A process of an engine. */
  private static final class Process {
    private final Upstream entry;
    private final Set<Prefill> attempts = new LinkedHashSet<>();
    private boolean ended;

    private Process(Upstream entry) {
      this.entry = entry;
    }
  }

  /** Creates such a fleet with workspaces that every region may serve. */
  AllocatingFleet(
      VirtualTime time,
      Collection<String> dataCentres,
      Collection<String> workspaces,
      SlotAllocatorPolicy policy,
      double tokensPerMilli,
      Observer observer) {
    this(
        time,
        dataCentres,
        AllocatingRouter.table(workspaces),
        DataCentreRegions.NONE,
        policy,
        tokensPerMilli,
        observer);
  }

  /**
   * Creates a fleet whose engines prefill the whole of each prompt.
   *
   * @param tokensPerMilli prompt tokens that an engine prefills in a millisecond
   */
  AllocatingFleet(
      VirtualTime time,
      Collection<String> dataCentres,
      Table table,
      DataCentreRegions regions,
      SlotAllocatorPolicy policy,
      double tokensPerMilli,
      Observer observer) {
    this(
        time,
        dataCentres,
        table,
        regions,
        policy,
        (engine, prompt, nowMillis) -> prompt.promptTokens() / tokensPerMilli,
        observer);
  }

  /** Creates a fleet of one router for each data centre. */
  AllocatingFleet(
      VirtualTime time,
      Collection<String> dataCentres,
      Table table,
      DataCentreRegions regions,
      SlotAllocatorPolicy policy,
      Engines engines,
      Observer observer) {
    this.time = time;
    this.observer = observer;
    this.engines = engines;
    instances = new InstanceList(1, List.of(), upstreams(dataCentres));
    instances.upstreams().forEach(entry -> processes.put(entry.name(), new Process(entry)));
    dataCentres.forEach(name -> nodes.put("r-" + name, new Node(name, policy, regions)));
    nodes.values().forEach(node -> node.start(table));
    tick();
  }

  /** Calls the model through the router of a data centre. */
  RequestId call(String dataCentre, String workspace, CallPlan plan, PromptMetadata prompt) {
    return call(dataCentre, workspace, plan, prompt, plan.timeoutMillis());
  }

  /** Calls the model for a caller that waits for a given time. */
  RequestId call(
      String dataCentre,
      String workspace,
      CallPlan plan,
      PromptMetadata prompt,
      long timeLeftMillis) {
    Node node = nodes.get("r-" + dataCentre);
    RequestId request = new RequestId(node.self.instance(), 1, ++lastNumber);
    node.prompts.put(request, prompt);
    node.dispatch(
        AllocatingRouter.arrival(
            request, workspace, plan, prompt, nowNanos() + timeLeftMillis * NANOS_PER_MILLI));
    return request;
  }

  /**
   * Lets each router activate a list with evacuated data centres, one after the other.
   *
   * @param spreadMillis time between two routers
   */
  void evacuate(Set<String> dataCentres, long spreadMillis) {
    evacuatedRevision++;
    InstanceList list =
        new InstanceList(
            instances.version(),
            instances.instances(),
            instances.upstreams(),
            dataCentres,
            evacuatedRevision);
    long delayMillis = 0;
    for (Node node : nodes.values()) {
      time.after(delayMillis, () -> node.activate(list));
      delayMillis += spreadMillis;
    }
  }

  /** Returns the entries that routers have of the engines. */
  List<Upstream> entries() {
    return instances.upstreams();
  }

  /** Returns whether the process of an engine runs and routers have its entry. */
  boolean runs(String engine) {
    Process process = processes.get(engine);
    return !process.ended && instances.upstreams().contains(process.entry);
  }

  /** Returns the requests that run at an engine. */
  List<RequestId> requestsAt(String engine) {
    return processes.get(engine).attempts.stream()
        .map(prefill -> prefill.attempt.request())
        .toList();
  }

  /** Ends the process of an engine; its attempts fail. */
  void crash(String engine) {
    Process process = processes.get(engine);
    process.ended = true;
    prefills.remove(engine);
    for (Prefill attempt : List.copyOf(process.attempts)) {
      attempt.node.dispatch(new RouterEvent.UpstreamFailed(attempt.attempt, Reason.UPSTREAM_DIED));
    }
  }

  /**
   * Starts an engine that has ended again, with a software version.
   *
   * @param lagMillis time after which routers have the new entry
   */
  void restart(String engine, String version, long lagMillis) {
    Upstream earlier = processes.get(engine).entry;
    Upstream entry = AllocatingRouter.engine(earlier, earlier.incarnation() + 1, version);
    processes.put(engine, new Process(entry));
    time.after(lagMillis, () -> publish(entry));
  }

  private void publish(Upstream entry) {
    List<Upstream> newer = new ArrayList<>(instances.upstreams());
    newer.replaceAll(known -> known.name().equals(entry.name()) ? entry : known);
    instances = new InstanceList(instances.version() + 1, List.of(), newer);
    nodes.values().forEach(node -> node.activate(instances));
  }

  private static List<Upstream> upstreams(Collection<String> dataCentres) {
    List<Upstream> upstreams = new ArrayList<>();
    for (String dataCentre : dataCentres) {
      for (int index = 0; index < ENGINES; index++) {
        upstreams.add(AllocatingRouter.engine(dataCentre + "-" + index, dataCentre));
      }
    }
    return upstreams;
  }

  private void tick() {
    nodes.values().forEach(Node::tick);
    time.after(TICK_MILLIS, this::tick);
  }

  private long nowNanos() {
    return time.nowMillis() * NANOS_PER_MILLI;
  }

  private void startPrefill(String engine, Prefill prefill) {
    prefill.process.attempts.add(prefill);
    Deque<Prefill> queue = prefills.computeIfAbsent(engine, name -> new ArrayDeque<>());
    queue.add(prefill);
    if (queue.size() == 1) {
      scheduleHead(engine, queue);
    }
  }

  private void scheduleHead(String engine, Deque<Prefill> queue) {
    double prefillMillis = engines.prefillMillis(engine, queue.peek().prompt, time.nowMillis());
    long millis = Math.max(1, Math.round(prefillMillis));
    time.after(
        millis,
        () -> {
          Prefill head = queue.remove();
          if (head.process.ended) {
            return;
          }
          if (!queue.isEmpty()) {
            scheduleHead(engine, queue);
          }
          engines
              .load(engine, time.nowMillis())
              .map(load -> new RouterEvent.UpstreamLoadReported(head.attempt, load))
              .ifPresent(head.node::dispatch);
          decode(head);
        });
  }

  private void decode(Prefill prefill) {
    AttemptId attempt = prefill.attempt;
    observer.onStarted(attempt.request());
    prefill.node.dispatch(
        new RouterEvent.UpstreamResponseStarted(attempt, new ResponseHead(200, List.of()), true));
    sendEvent(prefill, prefill.firstEvent, prefill.prompt.outputTokens());
  }

  /** Sends an event and later the next one; ends the response after the last. */
  private void sendEvent(Prefill prefill, long number, int tokens) {
    if (prefill.process.ended) {
      return;
    }
    if (number > engines.events()) {
      prefill.process.attempts.remove(prefill);
      prefill.node.dispatch(new RouterEvent.UpstreamResponseCompleted(prefill.attempt));
      return;
    }
    Bytes event = Bytes.ofText(prefill.process.entry.softwareVersion());
    prefill.node.dispatch(
        new RouterEvent.UpstreamResponseData(prefill.attempt, event, number, number, tokens));
    long millis = (long) DECODE_MILLIS_PER_TOKEN * prefill.prompt.outputTokens() / engines.events();
    time.after(millis, () -> sendEvent(prefill, number + 1, 0));
  }

  /** A router with its slot allocator. */
  private final class Node {
    private final PeerIdentity self;
    private final RouterDecision router;
    private final SlotAllocatorDecision allocator;
    private final Map<RequestId, PromptMetadata> prompts = new HashMap<>();

    private Node(String dataCentre, SlotAllocatorPolicy policy, DataCentreRegions regions) {
      self = new PeerIdentity("r-" + dataCentre, 1, Role.ROUTER, dataCentre, dataCentre, "");
      router = new RouterDecision(self, RouterPolicy.DEFAULT, policy, regions);
      allocator = new SlotAllocatorDecision(self, policy, regions);
    }

    private void start(Table table) {
      for (Node peer : nodes.values()) {
        if (peer != this) {
          dispatch(new RouterEvent.PeerConnected(peer.self));
          dispatch(new SlotAllocatorEvent.RouterConnected(peer.self));
        }
      }
      dispatch(new SlotAllocatorEvent.TableActivated(table));
      dispatch(new RouterEvent.TableActivated(table));
      activate(instances);
    }

    private void activate(InstanceList list) {
      dispatch(new SlotAllocatorEvent.InstancesActivated(list));
      dispatch(new RouterEvent.InstancesActivated(list));
    }

    private void tick() {
      dispatch(new SlotAllocatorEvent.Tick());
      dispatch(new RouterEvent.Tick());
    }

    private void dispatch(RouterEvent event) {
      for (RouterEffect effect : router.decide(event, nowNanos())) {
        switch (effect) {
          case RouterEffect.Send send when send.message() instanceof SlotMessage message ->
              send(send.instance(), message);
          case RouterEffect.RunAttempt run -> {
            RequestId request = run.attempt().request();
            observer.onSent(request, run.upstream());
            runAttempt(run, prompts.get(request));
          }
          case RouterEffect.ContinueResponse(RequestId request, Bytes content) ->
              observer.onEvent(request, content.text());
          case RouterEffect.EndResponse end -> observer.onCompleted(end.request());
          case RouterEffect.FailRequest fail ->
              observer.onRejected(fail.request(), fail.retryAfterMillis());
          default -> {
            // Concerns callers that this simulation does not have.
          }
        }
      }
    }

    private void dispatch(SlotAllocatorEvent event) {
      for (SlotAllocatorEffect effect : allocator.decide(event, nowNanos())) {
        if (effect instanceof SlotAllocatorEffect.Send(String instance, SlotMessage message)) {
          send(instance, message);
        }
      }
    }

    private void runAttempt(RouterEffect.RunAttempt run, PromptMetadata prompt) {
      String engine = run.upstream().name();
      Process process = processes.get(engine);
      if (process.ended) {
        time.after(
            1,
            () ->
                dispatch(
                    new RouterEvent.UpstreamNotRun(
                        run.attempt(), Reason.UPSTREAM_UNREACHABLE, false)));
        return;
      }
      long firstEvent = run.resumeAfter().orElse(0) + 1;
      startPrefill(engine, new Prefill(this, run.attempt(), prompt, firstEvent, process));
    }

    private void send(String instance, SlotMessage message) {
      Node receiver = nodes.get(instance);
      if (receiver == this) {
        receive(instance, message);
      } else {
        time.after(REGION_MILLIS, () -> receiver.receive(self.instance(), message));
      }
    }

    private void receive(String sender, SlotMessage message) {
      switch (message) {
        case SlotMessage.SlotsWanted _,
            SlotMessage.SlotsChanged _,
            SlotMessage.AllocatorCosts _,
            SlotMessage.UpstreamUnavailable _ ->
            dispatch(new SlotAllocatorEvent.MessageReceived(sender, message));
        default -> dispatch(new RouterEvent.AllocatorMessageReceived(sender, message));
      }
    }
  }
}
