package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.Reason;
import java.util.Optional;

/** Whether the sidecar may start work at its upstream. */
public final class Readiness {
  private boolean healthy;
  private boolean draining;
  private boolean leaving;

  /** Sets whether the upstream takes requests. */
  public void setHealthy(boolean value) {
    healthy = value;
  }

  /** Notes that the process finishes what it has; there is no way back. */
  public void beginDrain() {
    draining = true;
  }

  /** Sets whether the platform is about to take the instance away. */
  public void setLeaving(boolean value) {
    leaving = value;
  }

  /** Returns whether the upstream takes requests. */
  public boolean healthy() {
    return healthy;
  }

  /** Returns whether no new work is taken because the instance goes away. */
  public boolean draining() {
    return draining || leaving;
  }

  /** Returns why nothing may be started; empty if it may. */
  public Optional<Reason> refusal() {
    if (draining()) {
      return Optional.of(Reason.DRAINING);
    }
    return healthy ? Optional.empty() : Optional.of(Reason.NOT_READY);
  }
}
