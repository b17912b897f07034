package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.process.LimitSettings;

/** Tells whether a caller sends its body or reads its response too slowly. */
final class CallerProgress {

  private final MinimumRate bodyRate;
  private final MinimumRate responseRate;

  CallerProgress(LimitSettings limits) {
    bodyRate = new MinimumRate(limits.progressMillis(), limits.progressBytes());
    responseRate = new MinimumRate(limits.progressMillis(), limits.progressBytes());
  }

  /** Starts to measure the body of a request. */
  void onHead(long nowNanos) {
    bodyRate.start(nowNanos, 0);
  }

  /** Returns whether the caller sends the body too slowly. */
  boolean sendsTooSlowly(InFlightCall call, long nowNanos) {
    return call != null && !call.received && bodyRate.isTooSlow(nowNanos, call.contentBytes, 0);
  }

  /**
   * Returns whether the caller reads the responses that wait for it too slowly.
   *
   * @param unreportedBytes bytes that it may have read beside those that the socket took
   */
  boolean readsTooSlowly(SlicedWriteHandler output, long unreportedBytes, long nowNanos) {
    if (output.unwrittenBytes() == 0) {
      responseRate.start(nowNanos, output.writtenBytes());
      return false;
    }
    return responseRate.isTooSlow(nowNanos, output.writtenBytes(), unreportedBytes);
  }
}
