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

/**
 * Simulates a router and its callers. Each caller submits its next request as soon as the previous
 * one has ended.
 */
final class SimulatedRouter {

  private static final CallHead HEAD = new CallHead("POST", "/v1/chat/completions", List.of());
  private static final long DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(600);

  private final SimulatedTransport transport;
  private final RouterDecision routerDecision;
  private final CostAggregatorDecision costAggregator;
  private final Map<RequestId, String> workspaces = new HashMap<>();
  private final Deque<String> submitted = new ArrayDeque<>();
  private final Deque<CostAggregatorEvent> costEvents = new ArrayDeque<>();
  private long requestCount;
  private long completed;
  private long failed;
  private long nowNanos;

  SimulatedRouter(SimulatedTransport transport, Table table) {
    this.transport = transport;
    routerDecision = new RouterDecision(transport.self(), RouterPolicy.DEFAULT);
    costAggregator = new CostAggregatorDecision(transport.self(), CostAggregatorPolicy.DEFAULT);
    decide(new RouterEvent.TableActivated(table));
  }

  void onPeerConnected(PeerIdentity peer) {
    decide(new RouterEvent.PeerConnected(peer));
    decideCosts(new CostAggregatorEvent.PeerConnected(peer));
  }

  /** Queues a request of a workspace for the next step. */
  void submit(String workspace) {
    submitted.add(workspace);
  }

  /** Handles the received messages and the submitted requests, and then the tick. */
  void step(long now) {
    nowNanos = now;
    transport.receive(this::onMessage);
    for (int count = submitted.size(); count > 0; count--) {
      call(submitted.remove());
    }
    decide(new RouterEvent.Tick());
  }

  /** Handles the cost messages that the last step received, and then the tick. */
  void stepCostAggregator() {
    while (!costEvents.isEmpty()) {
      decideCosts(costEvents.remove());
    }
    decideCosts(new CostAggregatorEvent.Tick());
  }

  long completed() {
    return completed;
  }

  long failed() {
    return failed;
  }

  private void onMessage(PeerIdentity peer, LinkMessage message) {
    switch (message) {
      case LinkMessage.CostReport _, LinkMessage.CostChanges _, LinkMessage.DataCentreCosts _ ->
          costEvents.add(new CostAggregatorEvent.MessageReceived(peer, message));
      default -> decide(new RouterEvent.MessageReceived(peer, message));
    }
  }

  private void call(String workspace) {
    requestCount++;
    RequestId request =
        new RequestId(transport.self().instance(), transport.self().incarnation(), requestCount);
    workspaces.put(request, workspace);
    Fingerprint content =
        new Fingerprint(workspace, transport.self().service(), Long.toHexString(requestCount));
    decide(
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

  private void decide(RouterEvent event) {
    routerDecision.decide(event, nowNanos).forEach(this::perform);
  }

  private void perform(RouterEffect effect) {
    switch (effect) {
      case RouterEffect.Send(String instance, LinkMessage message) ->
          transport.send(instance, message);
      case RouterEffect.ContinueResponse(RequestId request, Bytes content) ->
          decide(new RouterEvent.ResponseConsumed(request, content.size()));
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
          RouterEffect.QuarantineChanged _,
          RouterEffect.QuarantineTrialStarted _,
          RouterEffect.ResumptionDecided _,
          RouterEffect.StreamContinued _,
          RouterEffect.SendToOriginCache _,
          RouterEffect.ReadUpstreams _,
          RouterEffect.AllowedRegionsChanged _,
          RouterEffect.CancelUnsentAttempt _,
          RouterEffect.Drained _ -> {
        // The callers only wait for the end of the response, and the router calls no upstream
        // itself, as each one has a sidecar.
      }
    }
  }

  private void decideCosts(CostAggregatorEvent event) {
    for (CostAggregatorEffect effect : costAggregator.decide(event, nowNanos)) {
      CostAggregatorEffect.Send send = (CostAggregatorEffect.Send) effect;
      transport.send(send.instance(), send.message());
    }
  }
}
