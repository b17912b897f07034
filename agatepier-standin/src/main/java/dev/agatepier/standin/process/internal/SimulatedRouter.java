package dev.agatepier.standin.process.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.CostAggregatorDecision;
import dev.agatepier.core.process.CostAggregatorEffect;
import dev.agatepier.core.process.CostAggregatorEvent;
import dev.agatepier.core.process.CostAggregatorPolicy;
import dev.agatepier.core.process.RouterDecision;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Table;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A router's decisions and its callers, each of which asks again as soon as it is answered. */
final class SimulatedRouter {

  private static final CallHead HEAD = new CallHead("POST", "/v1/chat/completions", List.of());
  private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(600);

  private final SimulatedTransport port;
  private final RouterDecision requests;
  private final CostAggregatorDecision holder;
  private final Map<RequestId, String> workspaces = new HashMap<>();
  private final Deque<String> asking = new ArrayDeque<>();
  private final Deque<CostAggregatorEvent> costs = new ArrayDeque<>();
  private long calls;
  private long completed;
  private long failed;
  private long nowNanos;

  SimulatedRouter(SimulatedTransport port, Table table) {
    this.port = port;
    requests = new RouterDecision(port.self(), RouterPolicy.DEFAULT);
    holder = new CostAggregatorDecision(port.self(), CostAggregatorPolicy.DEFAULT);
    tell(new RouterEvent.TableActivated(table));
  }

  void onPeerConnected(PeerIdentity peer) {
    tell(new RouterEvent.PeerConnected(peer));
    decideHolder(new CostAggregatorEvent.PeerConnected(peer));
  }

  /** Has a caller of a workspace ask. */
  void submit(String workspace) {
    asking.add(workspace);
  }

  /** Takes in what arrived and what callers ask. */
  void step(long now) {
    nowNanos = now;
    port.receive(this::arrived);
    for (int count = asking.size(); count > 0; count--) {
      call(asking.remove());
    }
    tell(new RouterEvent.Tick());
  }

  /** Takes in the costs that arrived. */
  void stepCostAggregator() {
    while (!costs.isEmpty()) {
      decideHolder(costs.remove());
    }
    decideHolder(new CostAggregatorEvent.Tick());
  }

  long completed() {
    return completed;
  }

  long failed() {
    return failed;
  }

  private void arrived(PeerIdentity peer, LinkMessage message) {
    switch (message) {
      case LinkMessage.CostReport _, LinkMessage.CostChanges _, LinkMessage.DataCentreCosts _ ->
          costs.add(new CostAggregatorEvent.MessageReceived(peer, message));
      default -> tell(new RouterEvent.MessageReceived(peer, message));
    }
  }

  private void call(String workspace) {
    calls++;
    RequestId request = new RequestId(port.self().instance(), port.self().incarnation(), calls);
    workspaces.put(request, workspace);
    Fingerprint content =
        new Fingerprint(workspace, port.self().service(), Long.toHexString(calls));
    tell(
        new RouterEvent.CallArrived(
            request,
            workspace,
            SimulatedFleet.SERVICE,
            HEAD,
            Bytes.EMPTY,
            content,
            Optional.empty(),
            nowNanos + DEADLINE_NANOS));
  }

  private void tell(RouterEvent event) {
    requests.decide(event, nowNanos).forEach(this::perform);
  }

  private void perform(RouterEffect effect) {
    switch (effect) {
      case RouterEffect.Send(String instance, LinkMessage message) -> port.send(instance, message);
      case RouterEffect.ContinueResponse(RequestId request, Bytes content) ->
          tell(new RouterEvent.ResponseConsumed(request, content.size()));
      case RouterEffect.EndResponse end -> {
        completed++;
        submit(workspaces.remove(end.request()));
      }
      case RouterEffect.FailRequest failure -> {
        failed++;
        submit(workspaces.remove(failure.request()));
      }
      case RouterEffect.BeginResponse _,
          RouterEffect.IssueTicket _,
          RouterEffect.RunAttempt _,
          RouterEffect.ReadAttempt _,
          RouterEffect.CancelAttempt _,
          RouterEffect.Drained _ -> {
        // The callers only wait for the end, and every upstream has a sidecar.
      }
    }
  }

  private void decideHolder(CostAggregatorEvent event) {
    for (CostAggregatorEffect effect : holder.decide(event, nowNanos)) {
      CostAggregatorEffect.Send send = (CostAggregatorEffect.Send) effect;
      port.send(send.instance(), send.message());
    }
  }
}
