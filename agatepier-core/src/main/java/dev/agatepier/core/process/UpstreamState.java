package dev.agatepier.core.process;

import java.util.Locale;

/** Whether an upstream may get requests, and the reason if it may not. */
public enum UpstreamState {
  /** It gets requests. */
  READY,
  /** It gets requests at a limited rate. */
  COLD,
  /** It has asked for a pause. */
  PAUSED,
  /** It was ejected after consecutive failures. */
  EJECTED,
  /** It makes no progress. */
  STALLED,
  /** Its data centre is evacuated. */
  EVACUATED,
  /** It is leaving and accepts no new work. */
  LEAVING,
  /** The instance list does not contain it. */
  GONE;

  /** Returns the stable name in logs and metrics. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns whether an upstream in this state gets requests. */
  public boolean usable() {
    return this == READY || this == COLD;
  }

  /**
   * Returns whether an upstream in this state is expected to serve requests, now or within the time
   * that a request can wait; the other states end only by a newer instance list.
   */
  public boolean serving() {
    return this != EVACUATED && this != LEAVING && this != GONE;
  }
}
