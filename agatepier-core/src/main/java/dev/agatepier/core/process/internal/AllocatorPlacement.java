package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.SlotMessage.AllocatorLoad;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Has a slot keeper grant the slots: it is told of each request that waits and of all that becomes
 * of it, and names the upstream that the request goes to.
 */
public final class AllocatorPlacement implements Placement {

  /** Data centres that a request asks in after the first has refused it. */
  private static final int MOST_SECOND_CHOICES = 1;

  private final RouterState state;
  private final DataCentreSelector choice;
  private final Map<DialogueKey, AllocatorSession> dialogues = new LinkedHashMap<>();
  private final Map<String, SlidingWindowRetryBudget> budgets = new HashMap<>();

  /** What a dialogue is about. */
  private record DialogueKey(String service, String dataCentre) {}

  /** Creates the placement of a router without requests. */
  public AllocatorPlacement(RouterState state) {
    this.state = state;
    this.choice = new DataCentreSelector(state.self, state.policy.regionMillis());
  }

  @Override
  public void add(RoutedRequest request, long nowNanos) {
    if (request.attempts == 0) {
      budget(request).recordRequest(nowNanos);
    }
    ask(request, nowNanos);
  }

  @Override
  public void requeue(RoutedRequest request, String avoided, long nowNanos) {
    request.refusedBy.clear();
    ask(request, nowNanos);
  }

  /**
   * Has a request that a keeper refused ask in another data centre, if there is one and the request
   * may still be in time there.
   *
   * @return whether it waits again
   */
  boolean requeueElsewhere(RoutedRequest request, long nowNanos) {
    dialogue(request, nowNanos).remove(request);
    request.refusedBy.add(request.dataCentre);
    long dueNanos =
        request.arrivedNanos + request.plan.objectiveMillis() * RouterState.NANOS_PER_MILLI;
    Optional<String> other =
        request.refusedBy.size() > MOST_SECOND_CHOICES
            ? Optional.empty()
            : choice.choose(request, state.allocatorCandidates(), request.refusedBy, nowNanos);
    if (other.isEmpty()
        || dueNanos - nowNanos < state.policy.regionMillis() * RouterState.NANOS_PER_MILLI) {
      return false;
    }
    request.dataCentre = other.get();
    dialogue(request, nowNanos).addWaiting(request);
    return true;
  }

  @Override
  public void remove(RoutedRequest request) {
    dialogues.get(key(request)).withdraw(request);
  }

  @Override
  public void recordStarted(RoutedRequest request, long nowNanos) {
    // The keeper that granted the slot knows.
  }

  @Override
  public void recordResponseStarted(RoutedRequest request) {
    dialogues
        .get(key(request))
        .addChange(request.id(), request.lastTarget, SlotStage.RESPONSE_STARTED, 0);
  }

  @Override
  public void recordReleased(RoutedRequest request, SlotStage stage, long nowNanos) {
    dialogues.get(key(request)).release(request, stage, (long) request.cost(nowNanos));
  }

  @Override
  public boolean takeRetry(RoutedRequest request, long nowNanos) {
    double slack = (double) state.policy.retrySlack() / state.recentPeakRouters(nowNanos);
    return budget(request).tryAcquire(state.retryShare(request.queue.service), slack, nowNanos);
  }

  /** Returns whether a router is the keeper that a request was told to. */
  boolean isAllocator(RoutedRequest request, String router) {
    AllocatorSession dialogue = dialogues.get(key(request));
    return dialogue != null && dialogue.isAllocator(router);
  }

  /** Tells a keeper that a slot it granted is not used. */
  void decline(String router, String service, RequestId request, String upstream) {
    for (Map.Entry<DialogueKey, AllocatorSession> entry : dialogues.entrySet()) {
      if (entry.getKey().service().equals(service) && entry.getValue().isAllocator(router)) {
        entry.getValue().addChange(request, upstream, SlotStage.DECLINED, 0);
        return;
      }
    }
  }

  /** Takes a keeper's word on its load. */
  void onAllocatorLoad(AllocatorLoad load, long nowNanos) {
    choice.recordLoad(load, nowNanos);
  }

  /** Takes the upstreams that are listed. */
  void updateUpstreams(Collection<Upstream> upstreams) {
    choice.setUpstreams(upstreams);
  }

  /** Takes note that a router is gone. */
  void onRouterDisconnected(String router) {
    dialogues.values().forEach(dialogue -> dialogue.onAllocatorDisconnected(router));
  }

  /**
   * Chooses keepers anew among some routers. A data centre that none of them belongs to is looked
   * after by another, which takes its requests over.
   */
  void onRoutersChanged(Collection<PeerIdentity> routers, long nowNanos) {
    List<RoutedRequest> orphans = new ArrayList<>();
    dialogues.forEach(
        (key, dialogue) -> {
          dialogue.setAllocator(
              AllocatorSelection.select(key.service(), key.dataCentre(), routers), nowNanos);
          orphans.addAll(dialogue.takeOrphans());
        });
    for (RoutedRequest orphan : orphans) {
      orphan.dataCentre = AllocatorSelection.responsibleDataCentre(orphan.dataCentre, routers);
      dialogue(orphan, nowNanos).adopt(orphan);
    }
  }

  /** Tells each keeper what has changed. */
  public void flush(long nowNanos) {
    dialogues.values().forEach(dialogue -> dialogue.flush(nowNanos));
  }

  private void ask(RoutedRequest request, long nowNanos) {
    request.dataCentre =
        choice
            .choose(request, state.allocatorCandidates(), request.refusedBy, nowNanos)
            .orElse(state.self.dataCentre());
    dialogue(request, nowNanos).addWaiting(request);
  }

  private AllocatorSession dialogue(RoutedRequest request, long nowNanos) {
    AllocatorSession known = dialogues.get(key(request));
    if (known != null) {
      return known;
    }
    Collection<PeerIdentity> routers = state.allocatorCandidates();
    String region =
        routers.stream()
            .filter(router -> router.dataCentre().equals(request.dataCentre))
            .map(PeerIdentity::region)
            .findFirst()
            .orElse("");
    long wayMillis = (long) choice.roundTripMillis(request.dataCentre, region);
    AllocatorSession dialogue =
        new AllocatorSession(request.queue.service, wayMillis, state.outbox);
    dialogues.put(key(request), dialogue);
    dialogue.setAllocator(
        AllocatorSelection.select(request.queue.service, request.dataCentre, routers), nowNanos);
    return dialogue;
  }

  private static DialogueKey key(RoutedRequest request) {
    return new DialogueKey(request.queue.service, request.dataCentre);
  }

  private SlidingWindowRetryBudget budget(RoutedRequest request) {
    long windowNanos = state.policy.retryWindowMillis() * RouterState.NANOS_PER_MILLI;
    return budgets.computeIfAbsent(
        request.queue.service, name -> new SlidingWindowRetryBudget(windowNanos));
  }
}
