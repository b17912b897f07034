package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.DemandUpdate;
import dev.agatepier.core.connection.LinkMessage.Grant;
import dev.agatepier.core.connection.LinkMessage.WorkspaceDemand;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Table;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

/**
 * Sidecar and cost aggregator decisions connected by links with a delay, in virtual time. Routers
 * always have another request of the workspaces for which the test sets a demand. Engines stream
 * ten tokens every 100 ms and report the prompt cost, which was not known before, at the end.
 */
final class FairnessFleet {
  static final int TICK_MILLIS = 50;
  static final int NEAR_MILLIS = 1;
  static final int FAR_MILLIS = 30;
  private static final int CHUNK_TOKENS = 10;
  static final int CHUNK_MILLIS = 100;
  private static final int WAITING = 50;

  private record Event(long millis, long order, Runnable action) {}

  /** Minimum and maximum tokens of a workspace's requests. */
  record Sizes(int minimum, int maximum) {}

  private final Random random;
  private final Map<String, Sizes> sizes;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::millis).thenComparingLong(Event::order));
  private final Map<String, PeerIdentity> identities = new TreeMap<>();
  private final Map<String, SidecarDecision> sidecars = new TreeMap<>();
  private final Map<String, CostAggregatorDecision> aggregators = new TreeMap<>();
  private final Map<AttemptId, String> running = new HashMap<>();
  private final Map<AttemptId, Integer> totals = new HashMap<>();
  final Map<String, Double> served = new TreeMap<>();
  Runnable onServed = () -> {};
  private long order;
  long busyMillis;
  private boolean partitioned;
  long requests;
  long nowMillis;

  FairnessFleet(long seed, Map<String, Sizes> sizes) {
    this.random = new Random(seed);
    this.sizes = sizes;
  }

  void addRouter(PeerIdentity router) {
    identities.put(router.instance(), router);
    aggregators.put(
        router.instance(), new CostAggregatorDecision(router, CostAggregatorPolicy.DEFAULT));
  }

  void addSidecar(PeerIdentity sidecar, SidecarPolicy policy, Table table) {
    identities.put(sidecar.instance(), sidecar);
    sidecars.put(sidecar.instance(), new SidecarDecision(sidecar, policy));
    dispatch(sidecar.instance(), new SidecarEvent.TableActivated(table));
    dispatch(sidecar.instance(), new SidecarEvent.UpstreamHealthChanged(true, false));
  }

  /** Links every router to every sidecar and every other router, and starts the ticks. */
  void linkAll() {
    link((one, other) -> true);
    tick();
  }

  /** Disconnects all links between data centres. */
  void partition() {
    partitioned = true;
    for (PeerIdentity router : routers()) {
      for (PeerIdentity peer : identities.values()) {
        if (!router.dataCentre().equals(peer.dataCentre())) {
          dispatch(router.instance(), new CostAggregatorEvent.PeerDisconnected(peer));
          if (sidecars.containsKey(peer.instance())) {
            dispatch(peer.instance(), new SidecarEvent.RouterDisconnected(router));
          }
        }
      }
    }
  }

  /** Links the data centres again. */
  void healPartition() {
    partitioned = false;
    link((one, other) -> !one.dataCentre().equals(other.dataCentre()));
  }

  private void link(BiPredicate<PeerIdentity, PeerIdentity> condition) {
    for (PeerIdentity router : routers()) {
      for (PeerIdentity peer : identities.values()) {
        if (!peer.equals(router) && condition.test(router, peer)) {
          dispatch(router.instance(), new CostAggregatorEvent.PeerConnected(peer));
          if (sidecars.containsKey(peer.instance())) {
            dispatch(peer.instance(), new SidecarEvent.RouterConnected(router));
          }
        }
      }
    }
  }

  private List<PeerIdentity> routers() {
    return aggregators.keySet().stream().map(identities::get).toList();
  }

  void demand(String router, String sidecar, String workspace, boolean backlogged) {
    int waiting = backlogged ? WAITING : 0;
    WorkspaceDemand demand = new WorkspaceDemand(workspace, waiting, 0, 0);
    send(router, sidecar, new DemandUpdate(List.of(demand)));
  }

  void schedule(long millis, Runnable action) {
    events.add(new Event(millis, order++, action));
  }

  void runUntil(long millis) {
    while (!events.isEmpty() && events.peek().millis() <= millis) {
      Event event = events.remove();
      nowMillis = event.millis();
      event.action().run();
    }
  }

  private void tick() {
    sidecars.keySet().forEach(name -> dispatch(name, new SidecarEvent.Tick()));
    aggregators.keySet().forEach(name -> dispatch(name, new CostAggregatorEvent.Tick()));
    schedule(nowMillis + TICK_MILLIS, this::tick);
  }

  private void dispatch(String sidecar, SidecarEvent event) {
    long nanos = TimeUnit.MILLISECONDS.toNanos(nowMillis);
    for (SidecarEffect effect : sidecars.get(sidecar).decide(event, nanos)) {
      switch (effect) {
        case SidecarEffect.Send(String router, LinkMessage message) ->
            send(sidecar, router, message);
        case SidecarEffect.StartUpstream start -> startUpstream(sidecar, start.attempt());
        case SidecarEffect.CancelUpstream cancel -> cancelUpstream(sidecar, cancel.attempt());
        default -> throw new AssertionError("unexpected effect " + effect);
      }
    }
  }

  private void dispatch(String router, CostAggregatorEvent event) {
    long nanos = TimeUnit.MILLISECONDS.toNanos(nowMillis);
    for (CostAggregatorEffect effect : aggregators.get(router).decide(event, nanos)) {
      CostAggregatorEffect.Send send = (CostAggregatorEffect.Send) effect;
      send(router, send.instance(), send.message());
    }
  }

  private void send(String from, String to, LinkMessage message) {
    PeerIdentity sender = identities.get(from);
    boolean near = sender.dataCentre().equals(identities.get(to).dataCentre());
    if (partitioned && !near) {
      return;
    }
    long arrival = nowMillis + (near ? NEAR_MILLIS : FAR_MILLIS);
    if (sidecars.containsKey(to)) {
      schedule(arrival, () -> dispatch(to, new SidecarEvent.MessageReceived(sender, message)));
    } else if (message instanceof Grant grant) {
      schedule(arrival, () -> send(to, from, replyToGrant(to, grant)));
    } else {
      schedule(
          arrival, () -> dispatch(to, new CostAggregatorEvent.MessageReceived(sender, message)));
    }
  }

  private void cancelUpstream(String sidecar, AttemptId attempt) {
    running.remove(attempt);
    totals.remove(attempt);
    SidecarEvent failed = new SidecarEvent.UpstreamFailed(attempt, true, Reason.WITHDRAWN);
    schedule(nowMillis, () -> dispatch(sidecar, failed));
  }

  private LinkMessage replyToGrant(String router, Grant grant) {
    RequestId request = new RequestId(router, identities.get(router).incarnation(), ++requests);
    AttemptId attempt = new AttemptId(request, 1);
    running.put(attempt, grant.workspace());
    return SidecarFixture.start(grant.grantNumber(), attempt, grant.workspace());
  }

  private void startUpstream(String sidecar, AttemptId attempt) {
    Sizes range = sizes.get(running.get(attempt));
    int tokens = random.nextInt(range.minimum(), range.maximum() + 1);
    stream(sidecar, attempt, tokens / 2, tokens - tokens / 2);
  }

  private void stream(String sidecar, AttemptId attempt, int remaining, int promptTokens) {
    int chunk = Math.min(remaining, CHUNK_TOKENS);
    schedule(
        nowMillis + CHUNK_MILLIS,
        () -> {
          if (!running.containsKey(attempt)) {
            return;
          }
          busyMillis += CHUNK_MILLIS;
          serve(attempt, chunk);
          dispatch(sidecar, new SidecarEvent.UpstreamResponseData(attempt, Bytes.EMPTY, chunk));
          if (remaining > chunk) {
            stream(sidecar, attempt, remaining - chunk, promptTokens);
          } else {
            end(sidecar, attempt, promptTokens);
          }
        });
  }

  private void end(String sidecar, AttemptId attempt, int promptTokens) {
    serve(attempt, promptTokens);
    dispatch(sidecar, new SidecarEvent.UpstreamResponseCompleted(attempt, totals.remove(attempt)));
    running.remove(attempt);
  }

  private void serve(AttemptId attempt, int tokens) {
    totals.merge(attempt, tokens, Integer::sum);
    served.merge(running.get(attempt), (double) tokens, Double::sum);
    onServed.run();
  }
}
