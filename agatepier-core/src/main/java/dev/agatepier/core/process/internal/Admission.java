package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.process.RouterEffect.FailRequest;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.process.RouterEvent.TicketRequested;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.version.Limits;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.SlotAllocationMode;
import dev.agatepier.core.version.Workspace;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Admits calls to their queues or refuses them. Refusing a call without a ticket has the outcome
 * {@code NOT_RUN}. A ticketed call may have run in an earlier attempt through another router, so
 * refusing it has the outcome {@code UNKNOWN}, unless the ticket was issued for another workspace
 * or service.
 */
public final class Admission {

  /** Minimum retry-after time; a refusal without one has 0. */
  private static final long MINIMUM_RETRY_AFTER_MILLIS = 1_000;

  /** Retry-after time of a router that stops; other routers can take the call at once. */
  static final long DRAINING_RETRY_MILLIS = 100;

  private final RouterState state;
  private final RequestLifecycle lifecycle;
  private final Placement sidecarPlacement;
  private final Placement routerPlacement;

  /** Why a call is refused and when to retry it, in milliseconds; 0 for no retry-after time. */
  record Refusal(Reason reason, long retryAfterMillis) {}

  /**
   * Creates the admission control of a router.
   *
   * @param demand publishes the demand for services whose slots sidecars grant
   * @param allocatorPlacement places requests on upstreams that the router calls itself
   */
  public Admission(
      RouterState state,
      RequestLifecycle lifecycle,
      DemandPublisher demand,
      AllocatorPlacement allocatorPlacement) {
    this.state = state;
    this.lifecycle = lifecycle;
    this.sidecarPlacement = new SidecarPlacement(state, demand);
    this.routerPlacement = allocatorPlacement;
  }

  /** Queues a call that any upstream may run, or refuses it and reports the reason. */
  public void admit(CallArrived call, long nowNanos) {
    admit(call, "", nowNanos);
  }

  /**
   * Queues a call, or refuses it and reports the reason.
   *
   * @param softwareVersion software version of the upstreams that may run the call; empty for any
   */
  public void admit(CallArrived call, String softwareVersion, long nowNanos) {
    Optional<Refusal> refusal =
        checkAccess(call.workspace(), call.service())
            .or(() -> checkTicket(call))
            .or(() -> checkQuarantine(call, nowNanos))
            .or(() -> checkLoad(call, nowNanos))
            .or(() -> checkStop(call, nowNanos));
    if (refusal.isPresent()) {
      refuse(call, refusal.get());
      return;
    }
    WaitingQueue queue = state.queues.findOrAdd(call.service(), call.workspace(), nowNanos);
    ServiceEntry entry = state.table.service(call.service()).orElseThrow();
    RoutedRequest request =
        new RoutedRequest(
            call,
            queue,
            ++state.lastSequence,
            nowNanos,
            deadline(call, nowNanos),
            call.plan().orElseGet(() -> plan(entry, call)),
            placement(entry));
    request.softwareVersion = softwareVersion;
    state.regions.initialize(request);
    lifecycle.admit(request, nowNanos);
  }

  private Placement placement(ServiceEntry entry) {
    return entry.keeping() == SlotAllocationMode.ROUTER ? routerPlacement : sidecarPlacement;
  }

  /** Returns why a workspace cannot use a service now; empty if it can. */
  Optional<Refusal> checkAccess(String workspace, String service) {
    if (state.table.version() == 0) {
      return refusal(Reason.NOT_READY, MINIMUM_RETRY_AFTER_MILLIS);
    }
    if (state.draining) {
      return refusal(Reason.DRAINING, DRAINING_RETRY_MILLIS);
    }
    Optional<Workspace> row = state.table.workspace(workspace);
    if (row.isEmpty()) {
      return refusal(Reason.KEY_WRONG, 0);
    }
    if (state.table.service(service).isEmpty()) {
      return refusal(Reason.SERVICE_UNKNOWN, 0);
    }
    boolean allowed = row.get().services().contains(service);
    return allowed ? Optional.empty() : refusal(Reason.SERVICE_NOT_ALLOWED, 0);
  }

  /** Ends a request for a ticket that is not issued. */
  void refuse(TicketRequested wanted, Refusal refusal) {
    RequestMetadata metadata =
        RequestMetadata.ofUnqueued(wanted.workspace(), wanted.service(), wanted.service(), 0);
    refuse(wanted.request(), Outcome.NOT_RUN, refusal, metadata);
  }

  private void refuse(
      RequestId request, Outcome outcome, Refusal refusal, RequestMetadata metadata) {
    state.outbox.add(
        new FailRequest(request, outcome, refusal.reason(), refusal.retryAfterMillis(), metadata));
  }

  /** Ends a call that is not admitted. */
  void refuse(CallArrived call, Refusal refusal) {
    boolean mayHaveRun = call.ticket().isPresent() && refusal.reason() != Reason.TICKET_INVALID;
    Outcome outcome = mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    RequestMetadata metadata =
        RequestMetadata.ofUnqueued(
            call.workspace(),
            call.service(),
            route(call),
            call.prompt().map(PromptMetadata::size).orElse(0L));
    refuse(call.request(), outcome, refusal, metadata);
  }

  private Optional<Refusal> checkTicket(CallArrived call) {
    if (call.ticket().isEmpty()) {
      return Optional.empty();
    }
    Ticket ticket = call.ticket().get();
    if (!ticket.workspace().equals(call.workspace()) || !ticket.service().equals(call.service())) {
      return refusal(Reason.TICKET_INVALID, 0);
    }
    ConnectedSidecar home = state.sidecars.findByName(ticket.sidecar());
    boolean restarted = home != null && home.peer.incarnation() != ticket.incarnation();
    return restarted ? refusal(Reason.TICKET_HOME_GONE, 0) : Optional.empty();
  }

  private Optional<Refusal> checkQuarantine(CallArrived call, long nowNanos) {
    if (state.quarantine.isQuarantined(call.fingerprint(), nowNanos)) {
      return refusal(Reason.QUARANTINED, state.quarantine.millisLeft(call.fingerprint(), nowNanos));
    }
    OptionalLong millisLeft = state.directCrashes.quarantineMillis(call, nowNanos);
    return millisLeft.isPresent()
        ? refusal(Reason.QUARANTINED, millisLeft.getAsLong())
        : Optional.empty();
  }

  private Optional<Refusal> checkLoad(CallArrived call, long nowNanos) {
    Limits limits = state.limits(call.workspace());
    WorkspaceUsage usage = state.queues.usage(call.workspace());
    WaitingQueue queue = state.queues.find(call.service(), call.workspace());
    if (deadline(call, nowNanos) <= nowNanos) {
      return refusal(Reason.DEADLINE, 0);
    }
    if (usage.waiting >= limits.waiting()) {
      return refusal(Reason.LIMIT_WAITING, MINIMUM_RETRY_AFTER_MILLIS);
    }
    double estimate = queue == null ? 0 : queue.estimatedCost();
    long costWaitMillis = usage.costWaitMillis(estimate, limits, nowNanos);
    if (costWaitMillis > 0) {
      return refusal(Reason.LIMIT_COST, costWaitMillis);
    }
    long waitNanos = queue == null ? 0 : queue.drainRate.waitNanos(queue.size());
    long excessNanos = waitNanos - (deadline(call, nowNanos) - nowNanos);
    if (excessNanos > 0) {
      long retryAfterMillis =
          Math.max(MINIMUM_RETRY_AFTER_MILLIS, excessNanos / RouterState.NANOS_PER_MILLI);
      return refusal(Reason.OVERLOADED, retryAfterMillis);
    }
    return Optional.empty();
  }

  private Optional<Refusal> checkStop(CallArrived call, long nowNanos) {
    return state.stop.canServe(route(call), call.prompt(), nowNanos)
        ? Optional.empty()
        : refusal(Reason.DRAINING, DRAINING_RETRY_MILLIS);
  }

  private CallPlan plan(ServiceEntry entry, CallArrived call) {
    return new CallPlan(
        entry.name(),
        entry.idempotent(call.head().method(), call.head().path()),
        false,
        false,
        state.policy.attempts(),
        entry.deadlineMillis(),
        0,
        0,
        0);
  }

  private static String route(CallArrived call) {
    return call.plan().map(CallPlan::route).orElse(call.service());
  }

  private long deadline(CallArrived call, long nowNanos) {
    long maximumMillis =
        call.plan()
            .map(CallPlan::timeoutMillis)
            .orElseGet(() -> state.table.service(call.service()).orElseThrow().deadlineMillis());
    return Math.min(call.deadlineNanos(), nowNanos + maximumMillis * RouterState.NANOS_PER_MILLI);
  }

  private static Optional<Refusal> refusal(Reason reason, long retryAfterMillis) {
    return Optional.of(new Refusal(reason, retryAfterMillis));
  }
}
