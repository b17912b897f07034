package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.SlotStage;

/** Placement by sidecars: they receive the demand and grant their free slots to requests. */
final class SidecarPlacement implements Placement {

  /** How long a retry avoids the sidecar at which the previous attempt failed. */
  private static final long AVOID_NANOS = 200_000_000;

  private final RouterState state;
  private final DemandPublisher demand;

  SidecarPlacement(RouterState state, DemandPublisher demand) {
    this.state = state;
    this.demand = demand;
  }

  @Override
  public void add(RoutedRequest request, long nowNanos) {
    startDrainRate(request.queue, nowNanos);
    String preferred = request.parkedBefore ? null : state.affinity.sidecar(request.call);
    ConnectedSidecar sidecar = preferred == null ? null : state.sidecars.findByName(preferred);
    if (request.ticketed()) {
      request.queue.addPinned(request, request.call.ticket().get().sidecar());
    } else if (sidecar != null && sidecar.acceptsWork() && state.sidecars.sameRegion(sidecar)) {
      long holdNanos = state.policy.affinityMillis() * RouterState.NANOS_PER_MILLI;
      request.queue.addAffine(request, preferred, nowNanos + holdNanos);
    } else {
      request.queue.addOpen(request);
    }
    demand.onQueueChanged(request.queue);
  }

  @Override
  public boolean isServed(RoutedRequest request, long nowNanos) {
    return true;
  }

  @Override
  public boolean isWithoutUpstreams(String service, long nowNanos) {
    return false;
  }

  @Override
  public void requeue(RoutedRequest request, String avoided, long nowNanos) {
    startDrainRate(request.queue, nowNanos);
    if (request.ticketed()) {
      request.queue.addPinned(request, avoided);
    } else {
      request.queue.addAvoiding(request, avoided, nowNanos + AVOID_NANOS);
    }
    demand.onQueueChanged(request.queue);
  }

  @Override
  public void remove(RoutedRequest request) {
    request.queue.remove(request);
    demand.onQueueChanged(request.queue);
  }

  @Override
  public void recordStarted(RoutedRequest request, long nowNanos) {
    request.queue.remove(request);
    request.queue.drainRate.recordDeparture(nowNanos);
    demand.onQueueChanged(request.queue);
  }

  @Override
  public void recordResponseStarted(RoutedRequest request, long nowNanos) {
    // Nothing to do: the response was received from the sidecar.
  }

  @Override
  public void recordReleased(RoutedRequest request, SlotStage stage, long nowNanos) {
    // Nothing to do: the sidecar knows when its slot is free.
  }

  @Override
  public void recordFailed(RoutedRequest request) {
    // Sidecars grant slots to workspaces, whatever the size of their requests.
  }

  @Override
  public boolean tryAcquireRetry(RoutedRequest request, long nowNanos) {
    return request.queue.retries.tryAcquire();
  }

  private void startDrainRate(WaitingQueue queue, long nowNanos) {
    state.queues.touch(queue, nowNanos);
    if (queue.size() == 0) {
      queue.drainRate.startInterval(nowNanos);
    }
  }
}
