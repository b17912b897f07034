package dev.agatepier.standin.request;

import dev.agatepier.standin.version.TrialWorkspace;
import java.util.Objects;

/**
 * A call that a load test makes at a fixed time, independent of earlier calls (open loop).
 *
 * @param atNanos intended start, in nanoseconds since the start of the load test
 * @param router index of the router to call
 * @param workspace the workspace that calls
 * @param call the call
 */
public record PlannedCall(long atNanos, int router, TrialWorkspace workspace, ServiceCall call) {

  /** Rejects null components. */
  public PlannedCall {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(call, "call");
  }
}
