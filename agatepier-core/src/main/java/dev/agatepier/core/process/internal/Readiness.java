package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.Reason;
import java.util.Optional;

/** Tracks whether the sidecar may start attempts at its upstream. */
public final class Readiness {
  private boolean healthy;
  private boolean draining;
  private boolean leaving;

  /** Sets whether the upstream accepts requests. */
  public void setHealthy(boolean value) {
    healthy = value;
  }

  /** Starts the drain, which is final: running work is finished, new work is refused. */
  public void beginDrain() {
    draining = true;
  }

  /** Sets whether the instance list marks this instance as leaving. */
  public void setLeaving(boolean value) {
    leaving = value;
  }

  /** Returns whether the upstream accepts requests. */
  public boolean healthy() {
    return healthy;
  }

  /** Returns whether new work is refused because the process drains or the instance is leaving. */
  public boolean draining() {
    return draining || leaving;
  }

  /** Returns the reason to refuse new attempts; empty if they may start. */
  public Optional<Reason> refusal() {
    if (draining()) {
      return Optional.of(Reason.DRAINING);
    }
    return healthy ? Optional.empty() : Optional.of(Reason.NOT_READY);
  }
}
