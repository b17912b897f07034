package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.AttemptMessage.StartAttempt;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.SidecarEffect;
import dev.agatepier.core.process.SidecarEvent;
import dev.agatepier.core.process.SidecarPolicy;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.version.ServiceKind;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The attempts at a sidecar: their admission, execution, cancellation and history. */
public final class SidecarAttempts {
  private final AttemptHistory history = new AttemptHistory();
  private final TicketStore tickets;
  private final CostMeter meter;
  private final RunningAttempts running;
  private final AttemptAdmission admission;

  /**
   * Creates the state of a sidecar without attempts.
   *
   * @param self identity of the sidecar
   * @param policy settings
   * @param readiness whether an attempt may start
   * @param ledger accounts to which the cost of attempts is charged
   * @param estimator receives the cost of finished attempts
   * @param granter owner of the grants that attempts use
   * @param effects list to which effects are added
   */
  public SidecarAttempts(
      PeerIdentity self,
      SidecarPolicy policy,
      Readiness readiness,
      WorkspaceLedger ledger,
      CostEstimator estimator,
      SlotGranter granter,
      List<SidecarEffect> effects) {
    tickets = new TicketStore(self, policy);
    meter = new CostMeter(ledger, estimator);
    UpstreamCrashTracker deaths = new UpstreamCrashTracker(self);
    running = new RunningAttempts(ledger, meter, history, tickets, deaths, effects);
    admission = new AttemptAdmission(readiness, granter, history, tickets, running, effects);
  }

  /** Sets the kind of the service, which determines the unit of cost. */
  public void setKind(ServiceKind kind) {
    meter.setKind(kind);
  }

  /** Returns the number of attempts that hold a slot. */
  public int size() {
    return running.size();
  }

  /** Returns whether an attempt runs exclusively or waits to do so. */
  public boolean exclusive() {
    return running.exclusive();
  }

  /** Returns whether no attempt holds a slot and no response is being replayed. */
  public boolean idle() {
    return running.size() == 0 && admission.replayCount() == 0;
  }

  /** Records that a router is connected. */
  public void onRouterConnected(PeerIdentity router) {
    history.onRouterConnected(router.instance(), router.incarnation());
  }

  /** Cancels the attempts of a disconnected router, except ticketed ones. */
  public void onRouterDisconnected(PeerIdentity router, long nowNanos) {
    history.onRouterDisconnected(router.instance(), router.incarnation(), nowNanos);
    admission.onRouterDisconnected(router.instance());
    running.onRouterDisconnected(router, nowNanos);
  }

  /** Decides about an attempt received from a router. */
  public void start(String router, StartAttempt start, long nowNanos) {
    admission.start(router, start, nowNanos);
  }

  /** Cancels the replay of the attempt's response, or else withdraws the attempt. */
  public void withdraw(String router, AttemptId attempt) {
    if (!admission.withdraw(attempt)) {
      running.withdraw(router, attempt);
    }
  }

  /** Adds credit to the response of an attempt. */
  public void credit(AttemptId attempt, long bytes) {
    if (!admission.credit(attempt, bytes)) {
      running.credit(attempt, bytes);
    }
  }

  /** Forwards the head of a response. */
  public void onResponseStarted(SidecarEvent.UpstreamResponseStarted event) {
    running.onResponseStarted(event.attempt(), event.head());
  }

  /**
   * Forwards part of a response; returns the time between its tokens in milliseconds, 0 for none.
   */
  public double onResponseContent(SidecarEvent.UpstreamResponseData event, long nowNanos) {
    return running.onResponseContent(event.attempt(), event.content(), event.tokens(), nowNanos);
  }

  /** Ends an attempt whose response is complete. */
  public void onResponseEnded(SidecarEvent.UpstreamResponseCompleted event, long nowNanos) {
    running.onResponseEnded(event.attempt(), event.reportedTokens(), nowNanos);
  }

  /** Ends an attempt whose response will not be completed. */
  public void onResponseFailed(SidecarEvent.UpstreamFailed event, long nowNanos) {
    running.onResponseFailed(event.attempt(), event.sent(), event.reason(), nowNanos);
  }

  /** Fails all attempts that were running when the upstream crashed. */
  public void onUpstreamCrashed(Collection<String> routers, long nowNanos) {
    running.onUpstreamCrashed(routers, nowNanos);
  }

  /** Refuses the attempts that wait to run exclusively. */
  public void refuseWaiting(Reason reason) {
    running.refuseWaiting(reason);
  }

  /**
   * Charges running attempts for the time passed, refuses those whose deadline passed before they
   * started, and drops expired records.
   */
  public void onTick(long nowNanos) {
    running.onTick(nowNanos);
    history.expire(nowNanos);
    tickets.expire(TimeUnit.NANOSECONDS.toMillis(nowNanos));
  }
}
