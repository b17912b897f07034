package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.UpstreamNotice;
import dev.agatepier.core.version.Upstream;

/** What one incarnation of an upstream has said in its responses to this router. */
final class UpstreamNotices {

  /**
   * Interval at which the allocator is told again: it may have received the last report before the
   * entry of the upstream, or an older entry since.
   */
  private static final long REFRESH_INTERVAL_NANOS = 1_000_000_000L;

  private final long incarnation;
  private boolean leaving;
  private long pausedUntilNanos = UpstreamAvailability.NO_TIME;

  /** Slot allocator that knows of the last notice; empty for none. */
  private String reportedTo = "";

  private long reportedNanos;

  UpstreamNotices(long incarnation) {
    this.incarnation = incarnation;
  }

  /** Returns the incarnation of the upstream. */
  long incarnation() {
    return incarnation;
  }

  /**
   * Returns whether an entry belongs to a later incarnation than this.
   *
   * @param known the entry read before
   */
  boolean isBefore(Upstream known, Upstream entry) {
    boolean moved = known.port() != entry.port() || !known.address().equals(entry.address());
    return entry.incarnation() > incarnation || (entry.incarnation() == 0 && moved);
  }

  /** Applies a notice; a later pause replaces an earlier one. */
  void apply(UpstreamNotice notice, long nowNanos) {
    leaving |= notice.leaving();
    if (notice.pauseMillis().isPresent()) {
      pausedUntilNanos = nowNanos + notice.pauseMillis().getAsLong() * RouterState.NANOS_PER_MILLI;
    }
    reportedTo = "";
  }

  boolean leaving() {
    return leaving;
  }

  long pausedUntilNanos() {
    return pausedUntilNanos;
  }

  /** Returns the time left of a pause, in milliseconds, rounded up; 0 if there is none. */
  long pauseMillis(long nowNanos) {
    return pausedUntilNanos == UpstreamAvailability.NO_TIME
        ? 0
        : Math.max(0, Math.ceilDiv(pausedUntilNanos - nowNanos, RouterState.NANOS_PER_MILLI));
  }

  /** Returns whether there was any notice. */
  boolean any() {
    return leaving || pausedUntilNanos != UpstreamAvailability.NO_TIME;
  }

  /** Returns whether a notice keeps requests away now. */
  boolean active(long nowNanos) {
    return leaving || pauseMillis(nowNanos) > 0;
  }

  /** Records that an allocator is told, if it must be; returns whether it must. */
  boolean markReported(String allocator, long nowNanos) {
    boolean due =
        !reportedTo.equals(allocator) || nowNanos - reportedNanos >= REFRESH_INTERVAL_NANOS;
    if (due) {
      reportedTo = allocator;
      reportedNanos = nowNanos;
    }
    return due;
  }

  /** Records that an allocator does not know of the notices any more. */
  void clearReported(String allocator) {
    if (reportedTo.equals(allocator)) {
      reportedTo = "";
    }
  }
}
