package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.DirectCrashReport;
import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.process.RouterEffect.QuarantineChanged;
import dev.agatepier.core.process.RouterEffect.QuarantineTrialStarted;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.Reason;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Finds the requests and the prompt parts that crash upstreams which routers call directly, and
 * quarantines them.
 *
 * <p>A part is suspected when an upstream crashes that runs a request with it, and cleared when a
 * request with it completes on any router. It is quarantined after a few crashes that came before
 * the responses progressed, or after more that came later: all that an upstream runs ends with it,
 * so that a late crash says less about each request.
 *
 * <p>The other parts of the requests that crash upstreams are suspected as well, and while they are
 * quarantined no request with them could show that they are sound. So one request at a time is let
 * through on trial ({@link QuarantineTrials}), soon if it lacks a part that explains the crashes.
 */
final class DirectCrashes {

  /** Time in which failures at several upstreams count as one, as a network failure causes them. */
  private static final long MINIMUM_GAP_NANOS = 200_000_000;

  /** Content frames after which a response has progressed beyond its start. */
  private static final int STARTED_FRAMES = 1;

  /** Content frames that show that a request does not crash its upstream at the start. */
  private static final int PROGRESSED_FRAMES = 4;

  /**
   * Frames by which a response is ahead of another one: an upstream that crashes may not have sent
   * the last ones.
   */
  private static final int AHEAD_FRAMES = 2;

  /** Crashes, at the start of a response or later, after which a fingerprint is quarantined. */
  private static final int MAXIMUM_CRASHES = 5;

  private final RouterState state;

  /** Crashes at the start of a response. */
  private final Quarantine early;

  /** All crashes. */
  private final Quarantine all;

  private final QuarantineTrials trials = new QuarantineTrials();

  /** Creates the tracker of a router that has seen no crash. */
  DirectCrashes(RouterState state) {
    this.state = state;
    early = new Quarantine(state.policy, MINIMUM_GAP_NANOS);
    all = new Quarantine(state.policy, MAXIMUM_CRASHES, MINIMUM_GAP_NANOS);
  }

  /** Records a failed attempt, and reports it to the other routers if it may be due to a crash. */
  void onAttemptFailed(RoutedRequest request, Reason reason, long nowNanos) {
    boolean connectionEnded = reason == Reason.UPSTREAM_DIED || reason == Reason.ANSWER_INCOMPLETE;
    if (!connectionEnded || !(request.target instanceof DirectUpstream target)) {
      return;
    }
    Set<Fingerprint> ahead = partsOfResponsesAhead(request);
    List<Suspicion> suspicions = new ArrayList<>();
    for (Fingerprint fingerprint : fingerprints(request.call)) {
      if (!ahead.contains(fingerprint)) {
        suspicions.add(
            new Suspicion(fingerprint, target.name(), target.upstream().incarnation(), 0, false));
      }
    }
    boolean late = request.nextFrame > STARTED_FRAMES;
    List<Suspicion> added = addReports(crashReport(suspicions, late), nowNanos);
    if (!added.isEmpty()) {
      sendToRouters(crashReport(added, late));
    }
  }

  private static DirectCrashReport crashReport(List<Suspicion> suspicions, boolean late) {
    return late
        ? new DirectCrashReport(List.of(), suspicions, List.of(), List.of())
        : new DirectCrashReport(suspicions, List.of());
  }

  /**
   * Returns the parts of a service's running requests whose responses are ahead of that of a
   * request: such a part cannot have crashed the upstream where that response ended.
   */
  private Set<Fingerprint> partsOfResponsesAhead(RoutedRequest request) {
    Set<Fingerprint> parts = new HashSet<>();
    for (RoutedRequest other : state.requests.values()) {
      if (other != request
          && other.phase == RoutedRequest.Phase.RUNNING
          && other.nextFrame >= request.nextFrame + AHEAD_FRAMES
          && other.call.service().equals(request.call.service())) {
        addPartFingerprints(other.call, parts);
      }
    }
    return parts;
  }

  /**
   * Clears the parts of a request that has completed, and reports those that were suspected. A run
   * that continues a response after a crash, and may be short, refutes crashes at the start only.
   */
  void onCompleted(RoutedRequest request, long nowNanos) {
    if (!all.isEmpty()) {
      boolean continues = request.resumes || request.call.resumeAfter().isPresent();
      sendCleared(
          clear(
              continues ? withEarlyCrashesOnly(request, nowNanos) : fingerprints(request.call),
              nowNanos));
    }
  }

  /**
   * Clears the parts of a request whose response progresses, if only crashes at the start of
   * responses count against them.
   */
  void onProgressed(RoutedRequest request, long nowNanos) {
    if (request.nextFrame == PROGRESSED_FRAMES && !all.isEmpty()) {
      sendCleared(clear(withEarlyCrashesOnly(request, nowNanos), nowNanos));
    }
  }

  private List<Fingerprint> withEarlyCrashesOnly(RoutedRequest request, long nowNanos) {
    return fingerprints(request.call).stream()
        .filter(part -> early.crashCount(part, nowNanos) == all.crashCount(part, nowNanos))
        .toList();
  }

  /** Adds what another router has learned. */
  void onReport(DirectCrashReport report, long nowNanos) {
    addReports(report, nowNanos);
    clear(report.cleared(), nowNanos);
    trials.onStarted(report.tried(), nowNanos);
  }

  /** Sends a router that has connected what counts now. */
  void onRouterConnected(String router, long nowNanos) {
    List<Suspicion> active = early.activeReports(nowNanos);
    Set<Suspicion> sent = new HashSet<>(active);
    List<Suspicion> late =
        all.activeReports(nowNanos).stream().filter(report -> !sent.contains(report)).toList();
    if (!active.isEmpty() || !late.isEmpty()) {
      state.outbox.send(router, new DirectCrashReport(active, late, List.of(), List.of()));
    }
  }

  /**
   * Returns the time until a call that is quarantined may be tried, in milliseconds; empty if it
   * may run, also on trial.
   */
  OptionalLong quarantineMillis(CallArrived call, long nowNanos) {
    List<Fingerprint> quarantined = quarantined(call, nowNanos);
    if (quarantined.isEmpty()) {
      return OptionalLong.empty();
    }
    List<Fingerprint> others = explanations(call, nowNanos);
    long longest = 0;
    for (Fingerprint fingerprint : quarantined) {
      longest = Math.max(longest, millisUntilTrial(fingerprint, others, nowNanos));
    }
    return longest == 0 ? OptionalLong.empty() : OptionalLong.of(longest);
  }

  /** Records that a request is sent, which is a trial if it is quarantined. */
  void onSent(RoutedRequest request, long nowNanos) {
    List<Fingerprint> tried = quarantined(request.call, nowNanos);
    if (!tried.isEmpty()) {
      trials.onStarted(tried, nowNanos);
      state.outbox.add(new QuarantineTrialStarted(request.id(), tried));
      sendToRouters(new DirectCrashReport(List.of(), List.of(), List.of(), tried));
    }
  }

  /** Drops old crashes. */
  void expire(long nowNanos) {
    early.expire(nowNanos);
    all.expire(nowNanos);
  }

  private boolean isQuarantined(Fingerprint fingerprint, long nowNanos) {
    return early.isQuarantined(fingerprint, nowNanos) || all.isQuarantined(fingerprint, nowNanos);
  }

  private List<Fingerprint> quarantined(CallArrived call, long nowNanos) {
    if (all.isEmpty()) {
      return List.of();
    }
    return fingerprints(call).stream()
        .filter(fingerprint -> isQuarantined(fingerprint, nowNanos))
        .toList();
  }

  private long millisUntilTrial(Fingerprint fingerprint, List<Fingerprint> others, long nowNanos) {
    boolean explained = others.stream().anyMatch(other -> explains(other, fingerprint, nowNanos));
    long nanos =
        trials.nanosUntilTrial(fingerprint, explained, all.lastCrashNanos(fingerprint), nowNanos);
    return Math.min(
        all.millisLeft(fingerprint, nowNanos), Math.ceilDiv(nanos, RouterState.NANOS_PER_MILLI));
  }

  /** Returns the fingerprints that a call lacks and that may have caused several crashes. */
  private List<Fingerprint> explanations(CallArrived call, long nowNanos) {
    List<Fingerprint> others =
        new ArrayList<>(all.withCrashes(state.policy.quarantineDeaths(), nowNanos));
    others.removeAll(fingerprints(call));
    return others;
  }

  /**
   * Returns whether another fingerprint explains so many crashes of a quarantined one that those
   * left would not quarantine it.
   */
  private boolean explains(Fingerprint other, Fingerprint fingerprint, long nowNanos) {
    Set<Quarantine.Crash> left = new HashSet<>(all.crashes(fingerprint, nowNanos));
    int count = left.size();
    Set<Quarantine.Crash> explained = all.crashes(other, nowNanos);
    left.removeAll(explained);
    return left.size() < state.policy.quarantineDeaths()
        && (isQuarantined(other, nowNanos) || explained.size() >= count);
  }

  /** Returns the fingerprints of the content and of the prompt parts that other requests share. */
  private static List<Fingerprint> fingerprints(CallArrived call) {
    List<Fingerprint> fingerprints = new ArrayList<>();
    fingerprints.add(call.fingerprint());
    addPartFingerprints(call, fingerprints);
    return fingerprints;
  }

  private static void addPartFingerprints(CallArrived call, Collection<Fingerprint> fingerprints) {
    call.prompt()
        .ifPresent(
            prompt -> {
              for (PromptPart part : prompt.sharedParts()) {
                fingerprints.add(Fingerprint.ofPart(call.service(), part));
              }
            });
  }

  /** Adds the suspicions of a report, and returns those that were not known. */
  private List<Suspicion> addReports(DirectCrashReport report, long nowNanos) {
    List<Suspicion> reports = new ArrayList<>(report.suspicions());
    reports.addAll(report.late());
    Set<Fingerprint> quarantinedBefore = new HashSet<>();
    for (Suspicion suspicion : reports) {
      if (isQuarantined(suspicion.fingerprint(), nowNanos)) {
        quarantinedBefore.add(suspicion.fingerprint());
      }
    }
    early.addReports(report.suspicions(), nowNanos);
    List<Suspicion> added = all.addReports(reports, nowNanos);
    for (Suspicion suspicion : added) {
      trials.onCrash(suspicion.fingerprint());
      if (isQuarantined(suspicion.fingerprint(), nowNanos)
          && quarantinedBefore.add(suspicion.fingerprint())) {
        state.outbox.add(new QuarantineChanged(suspicion.fingerprint(), suspicion.sidecar()));
      }
    }
    return added;
  }

  /** Clears fingerprints, and returns those that were suspected. */
  private List<Fingerprint> clear(List<Fingerprint> fingerprints, long nowNanos) {
    List<Fingerprint> cleared = new ArrayList<>();
    for (Fingerprint fingerprint : fingerprints) {
      boolean before = isQuarantined(fingerprint, nowNanos);
      early.clear(fingerprint);
      if (all.clear(fingerprint)) {
        cleared.add(fingerprint);
        trials.onCleared(fingerprint);
      }
      if (before) {
        state.outbox.add(new QuarantineChanged(fingerprint, ""));
      }
    }
    return cleared;
  }

  private void sendCleared(List<Fingerprint> cleared) {
    if (!cleared.isEmpty()) {
      sendToRouters(new DirectCrashReport(List.of(), cleared));
    }
  }

  private void sendToRouters(DirectCrashReport report) {
    state.routers.keySet().forEach(router -> state.outbox.send(router, report));
  }
}
