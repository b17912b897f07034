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

/** Everything that a sidecar does with attempts: judge, run, answer, cancel and remember them. */
public final class SidecarAttempts {
  private final AttemptHistory marks = new AttemptHistory();
  private final TicketStore tickets;
  private final CostMeter meter;
  private final RunningAttempts running;
  private final AttemptAdmission admission;

  /**
   * Creates the state of a sidecar without attempts.
   *
   * @param self identity of the sidecar
   * @param policy settings
   * @param readiness whether work may be started
   * @param ledger accounts that the attempts' cost is charged to
   * @param estimator told of the cost of finished attempts
   * @param granter owner of the grants that attempts answer
   * @param effects where effects are added
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
    running = new RunningAttempts(ledger, meter, marks, tickets, deaths, effects);
    admission = new AttemptAdmission(readiness, granter, marks, tickets, running, effects);
  }

  /** Sets the unit of cost. */
  public void setKind(ServiceKind kind) {
    meter.setKind(kind);
  }

  /** Returns the number of attempts that hold a slot. */
  public int size() {
    return running.size();
  }

  /** Returns whether an attempt runs alone or waits to do so. */
  public boolean exclusive() {
    return running.exclusive();
  }

  /** Returns whether nothing runs and nothing is sent again. */
  public boolean idle() {
    return running.size() == 0 && admission.replayCount() == 0;
  }

  /** Notes a link. */
  public void onRouterConnected(PeerIdentity router) {
    marks.onRouterConnected(router.instance(), router.incarnation());
  }

  /** Cancels what a router has running, but for ticketed calls. */
  public void onRouterDisconnected(PeerIdentity router, long nowNanos) {
    marks.onRouterDisconnected(router.instance(), router.incarnation(), nowNanos);
    admission.onRouterDisconnected(router.instance());
    running.onRouterDisconnected(router, nowNanos);
  }

  /** Judges an attempt that a router sends. */
  public void start(String router, StartAttempt start, long nowNanos) {
    admission.start(router, start, nowNanos);
  }

  /** Withdraws an attempt. */
  public void withdraw(String router, AttemptId attempt) {
    if (!admission.withdraw(attempt)) {
      running.withdraw(router, attempt);
    }
  }

  /** Passes on credit for an answer. */
  public void credit(AttemptId attempt, long bytes) {
    if (!admission.credit(attempt, bytes)) {
      running.credit(attempt, bytes);
    }
  }

  /** Passes on the head of an answer. */
  public void onResponseStarted(SidecarEvent.UpstreamBegan event) {
    running.onResponseStarted(event.attempt(), event.head());
  }

  /** Passes on part of an answer; returns the time between its tokens in ms, 0 for none. */
  public double onResponseContent(SidecarEvent.UpstreamSent event, long nowNanos) {
    return running.onResponseContent(event.attempt(), event.content(), event.tokens(), nowNanos);
  }

  /** Ends a whole answer. */
  public void onResponseEnded(SidecarEvent.UpstreamEnded event, long nowNanos) {
    running.onResponseEnded(event.attempt(), event.reportedTokens(), nowNanos);
  }

  /** Ends an answer that will not become whole. */
  public void onResponseFailed(SidecarEvent.UpstreamBroke event, long nowNanos) {
    running.onResponseFailed(event.attempt(), event.sent(), event.reason(), nowNanos);
  }

  /** Fails everything that ran when the upstream died. */
  public void onUpstreamCrashed(Collection<String> routers, long nowNanos) {
    running.onUpstreamCrashed(routers, nowNanos);
  }

  /** Refuses what waits to run alone. */
  public void refuseWaiting(Reason reason) {
    running.refuseWaiting(reason);
  }

  /** Charges running attempts and drops what has expired. */
  public void onTick(long nowNanos) {
    running.onTick(nowNanos);
    marks.expire(nowNanos);
    tickets.expire(TimeUnit.NANOSECONDS.toMillis(nowNanos));
  }
}
