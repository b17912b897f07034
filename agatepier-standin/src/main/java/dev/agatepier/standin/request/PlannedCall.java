package dev.agatepier.standin.request;

import dev.agatepier.standin.version.TrialWorkspace;
import java.util.Objects;

/**
 * A call that a load makes at a set time, whatever became of earlier ones.
 *
 * @param atNanos intended start after the begin of the load, in nanoseconds
 * @param router index of the router that is called
 * @param workspace the workspace that calls
 * @param call the call
 */
public record PlannedCall(long atNanos, int router, TrialWorkspace workspace, ServiceCall call) {

  /** Checks that every part is present. */
  public PlannedCall {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(call, "call");
  }
}
