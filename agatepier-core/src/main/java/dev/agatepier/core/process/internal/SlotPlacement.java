package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.request.RequestId;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Has a slot keeper grant the slots: it is told of each request that waits and of all that becomes
 * of it, and names the upstream that the request goes to.
 */
public final class SlotPlacement implements Placement {

  private final RouterState state;
  private final Map<String, KeeperDialogue> dialogues = new HashMap<>();
  private final Map<String, WindowedRetryBudget> budgets = new HashMap<>();

  /** Creates the placement of a router without requests. */
  public SlotPlacement(RouterState state) {
    this.state = state;
  }

  @Override
  public void add(RoutedRequest request, long nowNanos) {
    if (request.attempts == 0) {
      budget(request).request(nowNanos);
    }
    dialogue(request.queue.service, nowNanos).waits(request);
  }

  @Override
  public void addAgain(RoutedRequest request, String avoided, long nowNanos) {
    dialogue(request.queue.service, nowNanos).waits(request);
  }

  @Override
  public void remove(RoutedRequest request) {
    dialogues.get(request.queue.service).waitsNoLonger(request);
  }

  @Override
  public void started(RoutedRequest request, long nowNanos) {
    // The keeper that granted the slot knows.
  }

  @Override
  public void begun(RoutedRequest request) {
    dialogues
        .get(request.queue.service)
        .change(request.id(), request.lastTarget, SlotStage.BEGUN, 0);
  }

  @Override
  public void left(RoutedRequest request, SlotStage stage, long nowNanos) {
    long amount =
        request.call.prompt().isPresent()
            ? request.tokens
            : (nowNanos - request.sentNanos) / RouterState.NANOS_PER_MILLI;
    dialogues.get(request.queue.service).left(request, stage, amount);
  }

  @Override
  public boolean takeRetry(RoutedRequest request, long nowNanos) {
    double slack = (double) state.policy.retrySlack() / state.mostRouters(nowNanos);
    return budget(request).take(state.retryShare(request.queue.service), slack, nowNanos);
  }

  /** Returns whether a router is the keeper that a service's requests were told to. */
  boolean isKeeper(String service, String router) {
    KeeperDialogue dialogue = dialogues.get(service);
    return dialogue != null && dialogue.isKeeper(router);
  }

  /** Tells a keeper that a slot it granted is not used. */
  void declined(String service, RequestId request, String upstream) {
    dialogues.get(service).change(request, upstream, SlotStage.DECLINED, 0);
  }

  /** Takes note that a router is gone. */
  void routerGone(String router) {
    dialogues.values().forEach(dialogue -> dialogue.keeperGone(router));
  }

  /** Chooses keepers anew among the routers that are reached and stay. */
  void routersChanged(Collection<PeerIdentity> routers, long nowNanos) {
    dialogues.forEach(
        (service, dialogue) ->
            dialogue.keeper(
                KeeperChoice.keeper(service, state.self.dataCentre(), routers), nowNanos));
  }

  /** Tells each keeper what has changed. */
  public void flush(long nowNanos) {
    dialogues.values().forEach(dialogue -> dialogue.flush(nowNanos));
  }

  private KeeperDialogue dialogue(String service, long nowNanos) {
    KeeperDialogue known = dialogues.get(service);
    if (known != null) {
      return known;
    }
    KeeperDialogue dialogue = new KeeperDialogue(service, state.outbox);
    dialogues.put(service, dialogue);
    dialogue.keeper(
        KeeperChoice.keeper(service, state.self.dataCentre(), state.stayingRouters()), nowNanos);
    return dialogue;
  }

  private WindowedRetryBudget budget(RoutedRequest request) {
    long windowNanos = state.policy.retryWindowMillis() * RouterState.NANOS_PER_MILLI;
    return budgets.computeIfAbsent(
        request.queue.service, name -> new WindowedRetryBudget(windowNanos));
  }
}
