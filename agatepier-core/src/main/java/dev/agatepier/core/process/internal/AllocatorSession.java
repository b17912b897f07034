package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.HeldSlot;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsChanged;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.request.RequestId;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** What a router has told the keeper of one service, and what it has yet to tell. */
final class AllocatorSession {

  private final String service;
  private final long wayMillis;
  private final RouterOutbox outbox;
  private final Map<RequestId, RoutedRequest> requests = new LinkedHashMap<>();
  private final Map<RequestId, RoutedRequest> wanted = new LinkedHashMap<>();
  private final List<SlotChange> changes = new ArrayList<>();
  private Optional<String> keeper = Optional.empty();
  private boolean tellAnew;

  /**
   * Creates the dialogue with a keeper that is yet to be chosen.
   *
   * @param wayMillis time that the way to its data centre and back takes, in milliseconds
   */
  AllocatorSession(String service, long wayMillis, RouterOutbox outbox) {
    this.service = service;
    this.wayMillis = wayMillis;
    this.outbox = outbox;
  }

  boolean isAllocator(String router) {
    return keeper.filter(router::equals).isPresent();
  }

  /** Takes the keeper of now; a new one is told everything, the former one that nothing is left. */
  void setAllocator(Optional<String> chosen, long nowNanos) {
    if (keeper.equals(chosen)) {
      return;
    }
    keeper.ifPresent(
        former -> outbox.send(former, new SlotsWanted(service, true, List.of(), List.of())));
    keeper = chosen;
    changes.clear();
    wanted.clear();
    keeper.ifPresent(name -> outbox.send(name, everything(nowNanos)));
  }

  /** Returns the requests that no keeper looks after, which the dialogue has forgotten then. */
  List<RoutedRequest> takeOrphans() {
    if (keeper.isPresent()) {
      return List.of();
    }
    wanted.clear();
    changes.clear();
    List<RoutedRequest> orphans = List.copyOf(requests.values());
    requests.clear();
    return orphans;
  }

  /** Takes a request that another keeper looked after, whether it waits or runs. */
  void adopt(RoutedRequest request) {
    requests.put(request.id(), request);
    tellAnew = true;
  }

  /** Forgets a keeper whose link is gone; a new link to it begins anew. */
  void onAllocatorDisconnected(String router) {
    keeper = keeper.filter(name -> !name.equals(router));
  }

  void addWaiting(RoutedRequest request) {
    requests.put(request.id(), request);
    wanted.put(request.id(), request);
  }

  void withdraw(RoutedRequest request) {
    requests.remove(request.id());
    if (wanted.remove(request.id()) == null) {
      addChange(request.id(), "", SlotStage.WITHDRAWN, 0);
    }
  }

  /** Drops a request that the keeper itself has given up. */
  void remove(RoutedRequest request) {
    requests.remove(request.id());
  }

  void release(RoutedRequest request, SlotStage stage, long amount) {
    requests.remove(request.id());
    addChange(request.id(), request.lastTarget, stage, amount);
  }

  void addChange(RequestId request, String upstream, SlotStage stage, long amount) {
    changes.add(new SlotChange(request, upstream, stage, amount));
  }

  /** Tells the keeper what has changed. */
  void flush(long nowNanos) {
    if (tellAnew && keeper.isPresent()) {
      outbox.send(keeper.get(), everything(nowNanos));
      changes.clear();
      wanted.clear();
    }
    tellAnew = false;
    if (keeper.isPresent() && !changes.isEmpty()) {
      outbox.send(keeper.get(), new SlotsChanged(service, changes));
    }
    changes.clear();
    if (keeper.isPresent() && !wanted.isEmpty()) {
      List<WaitingCall> waiting =
          wanted.values().stream().map(request -> waitingCall(request, nowNanos)).toList();
      outbox.send(keeper.get(), new SlotsWanted(service, false, waiting, List.of()));
    }
    wanted.clear();
  }

  private SlotsWanted everything(long nowNanos) {
    List<WaitingCall> waiting = new ArrayList<>();
    List<HeldSlot> held = new ArrayList<>();
    for (RoutedRequest request : requests.values()) {
      WaitingCall call = waitingCall(request, nowNanos);
      if (request.sent()) {
        held.add(new HeldSlot(call, request.lastTarget, request.receivesResponse()));
      } else {
        waiting.add(call);
      }
    }
    return new SlotsWanted(service, true, waiting, held);
  }

  private WaitingCall waitingCall(RoutedRequest request, long nowNanos) {
    return new WaitingCall(
        request.id(),
        request.call.workspace(),
        request.lastTarget,
        objectiveMillis(request, nowNanos) - wayMillis,
        (request.deadlineNanos - nowNanos) / RouterState.NANOS_PER_MILLI,
        request.plan.repeatable(),
        request.call.prompt());
  }

  /** Returns the time left to the objective; a stream that broke off is due after its pause. */
  private static long objectiveMillis(RoutedRequest request, long nowNanos) {
    long objective = request.plan.objectiveMillis();
    return request.responseStarted
        ? Math.max(objective, request.plan.gapMillis())
        : objective - (nowNanos - request.arrivedNanos) / RouterState.NANOS_PER_MILLI;
  }
}
