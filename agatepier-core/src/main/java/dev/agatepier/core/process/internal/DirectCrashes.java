package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.DirectCrashReport;
import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.process.RouterEffect.QuarantineChanged;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.Reason;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Finds the requests and the prompt parts that crash upstreams which routers call directly, and
 * quarantines them. A part is suspected when attempts with it failed before their responses
 * progressed, and cleared when a request with it completes on any router. Several crashes without a
 * completion in between quarantine it; the other parts of its requests are cleared by the sound
 * requests that share them.
 */
final class DirectCrashes {

  /** Time in which failures at several upstreams count as one, as a network failure causes them. */
  private static final long MINIMUM_GAP_NANOS = 200_000_000;

  /** Content frames after which a response has progressed beyond its start. */
  private static final int STARTED_FRAMES = 1;

  private final RouterState state;
  private final Quarantine quarantine;

  /** Creates the tracker of a router that has seen no crash. */
  DirectCrashes(RouterState state) {
    this.state = state;
    this.quarantine = new Quarantine(state.policy, MINIMUM_GAP_NANOS);
  }

  /** Records a failed attempt, and reports it to the other routers if it may be due to a crash. */
  void onAttemptFailed(RoutedRequest request, Reason reason, long nowNanos) {
    boolean connectionEnded = reason == Reason.UPSTREAM_DIED || reason == Reason.ANSWER_INCOMPLETE;
    if (!connectionEnded
        || request.nextFrame > STARTED_FRAMES
        || !(request.target instanceof DirectUpstream target)) {
      return;
    }
    List<Suspicion> suspicions = new ArrayList<>();
    for (Fingerprint fingerprint : fingerprints(request.call)) {
      suspicions.add(
          new Suspicion(fingerprint, target.name(), target.upstream().incarnation(), 0, false));
    }
    sendToRouters(addReports(suspicions, nowNanos), List.of());
  }

  /** Clears the parts of a request that has completed, and reports those that were suspected. */
  void onCompleted(RoutedRequest request, long nowNanos) {
    if (!quarantine.isEmpty()) {
      sendToRouters(List.of(), clear(fingerprints(request.call), nowNanos));
    }
  }

  /** Adds what another router has learned. */
  void onReport(DirectCrashReport report, long nowNanos) {
    addReports(report.suspicions(), nowNanos);
    clear(report.cleared(), nowNanos);
  }

  /** Sends a router that has connected what counts now. */
  void onRouterConnected(String router, long nowNanos) {
    List<Suspicion> active = quarantine.activeReports(nowNanos);
    if (!active.isEmpty()) {
      state.outbox.send(router, new DirectCrashReport(active, List.of()));
    }
  }

  /** Returns the remaining quarantine of a call, in milliseconds; empty if it may run. */
  OptionalLong quarantineMillis(CallArrived call, long nowNanos) {
    if (quarantine.isEmpty()) {
      return OptionalLong.empty();
    }
    return fingerprints(call).stream()
        .filter(fingerprint -> quarantine.isQuarantined(fingerprint, nowNanos))
        .mapToLong(fingerprint -> quarantine.millisLeft(fingerprint, nowNanos))
        .max();
  }

  /** Drops old crashes. */
  void expire(long nowNanos) {
    quarantine.expire(nowNanos);
  }

  /** Returns the fingerprints of the content and of the prompt parts that other requests share. */
  private static List<Fingerprint> fingerprints(CallArrived call) {
    List<Fingerprint> fingerprints = new ArrayList<>();
    fingerprints.add(call.fingerprint());
    call.prompt()
        .ifPresent(
            prompt -> {
              for (PromptPart part : prompt.sharedParts()) {
                fingerprints.add(Fingerprint.ofPart(call.service(), part));
              }
            });
    return fingerprints;
  }

  private List<Suspicion> addReports(List<Suspicion> reports, long nowNanos) {
    Set<Fingerprint> quarantinedBefore = new HashSet<>();
    for (Suspicion report : reports) {
      if (quarantine.isQuarantined(report.fingerprint(), nowNanos)) {
        quarantinedBefore.add(report.fingerprint());
      }
    }
    List<Suspicion> added = quarantine.addReports(reports, nowNanos);
    for (Suspicion report : added) {
      if (quarantine.isQuarantined(report.fingerprint(), nowNanos)
          && quarantinedBefore.add(report.fingerprint())) {
        state.outbox.add(new QuarantineChanged(report.fingerprint(), report.sidecar()));
      }
    }
    return added;
  }

  /** Clears fingerprints, and returns those that were suspected. */
  private List<Fingerprint> clear(List<Fingerprint> fingerprints, long nowNanos) {
    List<Fingerprint> cleared = new ArrayList<>();
    for (Fingerprint fingerprint : fingerprints) {
      boolean before = quarantine.isQuarantined(fingerprint, nowNanos);
      if (quarantine.clear(fingerprint)) {
        cleared.add(fingerprint);
      }
      if (before) {
        state.outbox.add(new QuarantineChanged(fingerprint, ""));
      }
    }
    return cleared;
  }

  private void sendToRouters(List<Suspicion> suspicions, List<Fingerprint> cleared) {
    if (!suspicions.isEmpty() || !cleared.isEmpty()) {
      DirectCrashReport report = new DirectCrashReport(suspicions, cleared);
      state.routers.keySet().forEach(router -> state.outbox.send(router, report));
    }
  }
}
