package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.connection.LinkMessage.SuspicionReport;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.request.Fingerprint;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Reports the requests in progress when an upstream crashed, or that failed just before. */
final class UpstreamCrashTracker {

  /** Time before the detection of a crash in which broken responses are attributed to it. */
  private static final long DETECTION_NANOS = TimeUnit.SECONDS.toNanos(3);

  private record BrokenResponse(Fingerprint fingerprint, long nanos) {}

  private final PeerIdentity self;
  private final Deque<BrokenResponse> recentBroken = new ArrayDeque<>();
  private long crashNumber;

  UpstreamCrashTracker(PeerIdentity self) {
    this.self = self;
  }

  void recordBrokenResponse(Fingerprint fingerprint, long nowNanos) {
    dropExpired(nowNanos);
    recentBroken.add(new BrokenResponse(fingerprint, nowNanos));
  }

  SuspicionReport reportCrash(Collection<RunningAttempt> running, long nowNanos) {
    dropExpired(nowNanos);
    List<Fingerprint> fingerprints = new ArrayList<>();
    recentBroken.forEach(broken -> fingerprints.add(broken.fingerprint()));
    running.forEach(attempt -> fingerprints.add(attempt.start.fingerprint()));
    recentBroken.clear();
    long number = ++crashNumber;
    boolean alone = fingerprints.size() == 1;
    return new SuspicionReport(
        fingerprints.stream()
            .distinct()
            .map(
                fingerprint ->
                    new Suspicion(fingerprint, self.instance(), self.incarnation(), number, alone))
            .toList());
  }

  private void dropExpired(long nowNanos) {
    while (!recentBroken.isEmpty() && nowNanos - recentBroken.peek().nanos() > DETECTION_NANOS) {
      recentBroken.remove();
    }
  }
}
