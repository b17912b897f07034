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

/** Tells which requests ran while the upstream died, also those whose answer broke just before. */
final class UpstreamCrashTracker {

  /** Time before a death is noticed in which a broken answer is put down to it. */
  private static final long NOTICE_NANOS = TimeUnit.SECONDS.toNanos(3);

  private record Broken(Fingerprint fingerprint, long nanos) {}

  private final PeerIdentity self;
  private final Deque<Broken> recentlyBroken = new ArrayDeque<>();
  private long deathNumber;

  UpstreamCrashTracker(PeerIdentity self) {
    this.self = self;
  }

  void recordBrokenResponse(Fingerprint fingerprint, long nowNanos) {
    dropOld(nowNanos);
    recentlyBroken.add(new Broken(fingerprint, nowNanos));
  }

  SuspicionReport reportCrash(Collection<RunningAttempt> running, long nowNanos) {
    dropOld(nowNanos);
    List<Fingerprint> fingerprints = new ArrayList<>();
    recentlyBroken.forEach(broken -> fingerprints.add(broken.fingerprint()));
    running.forEach(attempt -> fingerprints.add(attempt.start.fingerprint()));
    recentlyBroken.clear();
    long number = ++deathNumber;
    boolean alone = fingerprints.size() == 1;
    return new SuspicionReport(
        fingerprints.stream()
            .distinct()
            .map(
                fingerprint ->
                    new Suspicion(fingerprint, self.instance(), self.incarnation(), number, alone))
            .toList());
  }

  private void dropOld(long nowNanos) {
    while (!recentlyBroken.isEmpty() && nowNanos - recentlyBroken.peek().nanos() > NOTICE_NANOS) {
      recentlyBroken.remove();
    }
  }
}
