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
 * Sidecar and holder decisions joined by links with a delay, in virtual time. Routers always have
 * another request of the workspaces that they are told to want; engines stream ten tokens a tenth
 * of a second and report a prompt cost at the end that nobody knew before.
 */
final class FairnessFleet {
  static final int TICK_MILLIS = 50;
  static final int NEAR_MILLIS = 1;
  static final int FAR_MILLIS = 30;
  private static final int CHUNK_TOKENS = 10;
  static final int CHUNK_MILLIS = 100;
  private static final int WAITING = 50;

  private record Event(long millis, long order, Runnable action) {}

  /** Least and most tokens of a workspace's requests. */
  record Sizes(int least, int most) {}

  private final Random random;
  private final Map<String, Sizes> sizes;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::millis).thenComparingLong(Event::order));
  private final Map<String, PeerIdentity> identities = new TreeMap<>();
  private final Map<String, SidecarDecision> sidecars = new TreeMap<>();
  private final Map<String, CostAggregatorDecision> holders = new TreeMap<>();
  private final Map<AttemptId, String> running = new HashMap<>();
  private final Map<AttemptId, Integer> totals = new HashMap<>();
  final Map<String, Double> served = new TreeMap<>();
  Runnable onServed = () -> {};
  private long order;
  long busyMillis;
  private boolean cut;
  long requests;
  long nowMillis;

  FairnessFleet(long seed, Map<String, Sizes> sizes) {
    this.random = new Random(seed);
    this.sizes = sizes;
  }

  void addRouter(PeerIdentity router) {
    identities.put(router.instance(), router);
    holders.put(
        router.instance(), new CostAggregatorDecision(router, CostAggregatorPolicy.DEFAULT));
  }

  void addSidecar(PeerIdentity sidecar, SidecarPolicy policy, Table table) {
    identities.put(sidecar.instance(), sidecar);
    sidecars.put(sidecar.instance(), new SidecarDecision(sidecar, policy));
    tell(sidecar.instance(), new SidecarEvent.TableActivated(table));
    tell(sidecar.instance(), new SidecarEvent.UpstreamHealthChanged(true, false));
  }

  /** Links every router with every sidecar and router, and starts the ticks. */
  void linkAll() {
    link((one, other) -> true);
    tick();
  }

  /** Cuts all links between data centres. */
  void cut() {
    cut = true;
    for (PeerIdentity router : routers()) {
      for (PeerIdentity peer : identities.values()) {
        if (!router.dataCentre().equals(peer.dataCentre())) {
          tell(router.instance(), new CostAggregatorEvent.PeerDisconnected(peer));
          if (sidecars.containsKey(peer.instance())) {
            tell(peer.instance(), new SidecarEvent.RouterDisconnected(router));
          }
        }
      }
    }
  }

  /** Links the data centres again. */
  void rejoin() {
    cut = false;
    link((one, other) -> !one.dataCentre().equals(other.dataCentre()));
  }

  private void link(BiPredicate<PeerIdentity, PeerIdentity> condition) {
    for (PeerIdentity router : routers()) {
      for (PeerIdentity peer : identities.values()) {
        if (!peer.equals(router) && condition.test(router, peer)) {
          tell(router.instance(), new CostAggregatorEvent.PeerConnected(peer));
          if (sidecars.containsKey(peer.instance())) {
            tell(peer.instance(), new SidecarEvent.RouterConnected(router));
          }
        }
      }
    }
  }

  private List<PeerIdentity> routers() {
    return holders.keySet().stream().map(identities::get).toList();
  }

  void demand(String router, String sidecar, String workspace, boolean backlogged) {
    int waiting = backlogged ? WAITING : 0;
    WorkspaceDemand demand = new WorkspaceDemand(workspace, waiting, 0, 0);
    send(router, sidecar, new DemandUpdate(List.of(demand)));
  }

  void at(long millis, Runnable action) {
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
    sidecars.keySet().forEach(name -> tell(name, new SidecarEvent.TimePassed()));
    holders.keySet().forEach(name -> tell(name, new CostAggregatorEvent.TimePassed()));
    at(nowMillis + TICK_MILLIS, this::tick);
  }

  private void tell(String sidecar, SidecarEvent event) {
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

  private void tell(String router, CostAggregatorEvent event) {
    long nanos = TimeUnit.MILLISECONDS.toNanos(nowMillis);
    for (CostAggregatorEffect effect : holders.get(router).decide(event, nanos)) {
      CostAggregatorEffect.Send send = (CostAggregatorEffect.Send) effect;
      send(router, send.instance(), send.message());
    }
  }

  private void send(String from, String to, LinkMessage message) {
    PeerIdentity sender = identities.get(from);
    boolean near = sender.dataCentre().equals(identities.get(to).dataCentre());
    if (cut && !near) {
      return;
    }
    long arrival = nowMillis + (near ? NEAR_MILLIS : FAR_MILLIS);
    if (sidecars.containsKey(to)) {
      at(arrival, () -> tell(to, new SidecarEvent.MessageArrived(sender, message)));
    } else if (message instanceof Grant grant) {
      at(arrival, () -> send(to, from, answer(to, grant)));
    } else {
      at(arrival, () -> tell(to, new CostAggregatorEvent.MessageArrived(sender, message)));
    }
  }

  private void cancelUpstream(String sidecar, AttemptId attempt) {
    running.remove(attempt);
    totals.remove(attempt);
    SidecarEvent broke = new SidecarEvent.UpstreamFailed(attempt, true, Reason.WITHDRAWN);
    at(nowMillis, () -> tell(sidecar, broke));
  }

  private LinkMessage answer(String router, Grant grant) {
    RequestId request = new RequestId(router, identities.get(router).incarnation(), ++requests);
    AttemptId attempt = new AttemptId(request, 1);
    running.put(attempt, grant.workspace());
    return SidecarFixture.start(grant.grantNumber(), attempt, grant.workspace());
  }

  private void startUpstream(String sidecar, AttemptId attempt) {
    Sizes range = sizes.get(running.get(attempt));
    int tokens = random.nextInt(range.least(), range.most() + 1);
    stream(sidecar, attempt, tokens / 2, tokens - tokens / 2);
  }

  private void stream(String sidecar, AttemptId attempt, int left, int promptTokens) {
    int chunk = Math.min(left, CHUNK_TOKENS);
    at(
        nowMillis + CHUNK_MILLIS,
        () -> {
          if (!running.containsKey(attempt)) {
            return;
          }
          busyMillis += CHUNK_MILLIS;
          serve(attempt, chunk);
          tell(sidecar, new SidecarEvent.UpstreamResponseData(attempt, Bytes.EMPTY, chunk));
          if (left > chunk) {
            stream(sidecar, attempt, left - chunk, promptTokens);
          } else {
            end(sidecar, attempt, promptTokens);
          }
        });
  }

  private void end(String sidecar, AttemptId attempt, int promptTokens) {
    serve(attempt, promptTokens);
    tell(sidecar, new SidecarEvent.UpstreamResponseCompleted(attempt, totals.remove(attempt)));
    running.remove(attempt);
  }

  private void serve(AttemptId attempt, int tokens) {
    totals.merge(attempt, tokens, Integer::sum);
    served.merge(running.get(attempt), (double) tokens, Double::sum);
    onServed.run();
  }
}
