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
import java.util.stream.Stream;

/** State that a router shares with the slot allocator of one service, and changes not yet sent. */
final class AllocatorSession {

  private final String service;
  private final long roundTripMillis;
  private final RouterOutbox outbox;
  private final RouterRegions regions;
  private final Map<RequestId, RoutedRequest> requests = new LinkedHashMap<>();
  private final Map<RequestId, RoutedRequest> unsent = new LinkedHashMap<>();
  private final List<SlotChange> changes = new ArrayList<>();
  private Optional<String> allocator = Optional.empty();
  private boolean resendAll;

  /**
   * Creates a session without an allocator.
   *
   * @param roundTripMillis round-trip time to the allocator's data centre, in milliseconds
   */
  AllocatorSession(
      String service, long roundTripMillis, RouterOutbox outbox, RouterRegions regions) {
    this.regions = regions;
    this.service = service;
    this.roundTripMillis = roundTripMillis;
    this.outbox = outbox;
  }

  boolean isAllocator(String router) {
    return allocator.filter(router::equals).isPresent();
  }

  /** Sets the allocator; sends it the full state, and an empty state to the previous one. */
  void setAllocator(Optional<String> selected, long nowNanos) {
    if (allocator.equals(selected)) {
      return;
    }
    allocator.ifPresent(
        previous -> outbox.send(previous, new SlotsWanted(service, true, List.of(), List.of())));
    allocator = selected;
    changes.clear();
    unsent.clear();
    allocator.ifPresent(name -> outbox.send(name, fullState(nowNanos)));
  }

  /** Removes and returns all requests if there is no allocator; otherwise returns none. */
  List<RoutedRequest> takeOrphans() {
    if (allocator.isPresent()) {
      return List.of();
    }
    unsent.clear();
    changes.clear();
    List<RoutedRequest> orphans = List.copyOf(requests.values());
    requests.clear();
    return orphans;
  }

  /** Adds a waiting or running request that another allocator managed. */
  void adopt(RoutedRequest request) {
    requests.put(request.id(), request);
    resendAll = true;
  }

  /** Clears the allocator when its link closes; a new link starts with the full state. */
  void onAllocatorDisconnected(String router) {
    allocator = allocator.filter(name -> !name.equals(router));
  }

  void addWaiting(RoutedRequest request) {
    requests.put(request.id(), request);
    unsent.put(request.id(), request);
  }

  void withdraw(RoutedRequest request) {
    requests.remove(request.id());
    if (unsent.remove(request.id()) == null) {
      addChange(request.id(), "", SlotStage.WITHDRAWN, 0);
    }
  }

  /** Returns the requests that wait for a slot. */
  Stream<RoutedRequest> waiting() {
    return requests.values().stream().filter(request -> !request.sent());
  }

  /** Removes a request that does not wait at the allocator any more, without sending a change. */
  void remove(RoutedRequest request) {
    requests.remove(request.id());
    unsent.remove(request.id());
  }

  void release(RoutedRequest request, SlotStage stage, long amount, long nowNanos) {
    requests.remove(request.id());
    addProgress(request, stage, amount, nowNanos);
  }

  /** Adds a change of a request on its upstream, with the load that the upstream stated. */
  void addProgress(RoutedRequest request, SlotStage stage, long amount, long nowNanos) {
    changes.add(
        new SlotChange(
            request.id(),
            request.lastTarget,
            stage,
            amount,
            stage == SlotStage.COMPLETED ? request.longestGapMillis() : 0,
            request.takeStatedLoad(nowNanos)));
  }

  void addChange(RequestId request, String upstream, SlotStage stage, long amount) {
    changes.add(new SlotChange(request, upstream, stage, amount));
  }

  /** Sends the pending changes and new waiting requests to the allocator. */
  void flush(long nowNanos) {
    if (resendAll && allocator.isPresent()) {
      outbox.send(allocator.get(), fullState(nowNanos));
      changes.clear();
      unsent.clear();
    }
    resendAll = false;
    if (allocator.isPresent() && !changes.isEmpty()) {
      outbox.send(allocator.get(), new SlotsChanged(service, changes));
    }
    changes.clear();
    if (allocator.isPresent() && !unsent.isEmpty()) {
      List<WaitingCall> waiting =
          unsent.values().stream().map(request -> waitingCall(request, nowNanos)).toList();
      outbox.send(
          allocator.get(),
          new SlotsWanted(service, false, waiting, List.of(), regions.tableVersion()));
    }
    unsent.clear();
  }

  private SlotsWanted fullState(long nowNanos) {
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
    return new SlotsWanted(service, true, waiting, held, regions.tableVersion());
  }

  private WaitingCall waitingCall(RoutedRequest request, long nowNanos) {
    request.reportedTimeLeftMillis =
        (request.deadlineNanos - nowNanos) / RouterState.NANOS_PER_MILLI;
    return new WaitingCall(
        request.id(),
        request.call.workspace(),
        request.lastTarget,
        objectiveMillis(request, nowNanos) - roundTripMillis,
        request.reportedTimeLeftMillis,
        request.plan.repeatable(),
        request.underserved,
        request.callerAgeMillis,
        request.call.prompt(),
        request.plan.route(),
        request.allowedRegions,
        request.softwareVersion);
  }

  /** Returns the time left until the objective; a resumed stream has at least its allowed gap. */
  private static long objectiveMillis(RoutedRequest request, long nowNanos) {
    long objective = request.objectiveMillis();
    return request.responseStarted
        ? Math.max(objective, request.plan.gapMillis())
        : objective - (nowNanos - request.arrivedNanos) / RouterState.NANOS_PER_MILLI;
  }
}
