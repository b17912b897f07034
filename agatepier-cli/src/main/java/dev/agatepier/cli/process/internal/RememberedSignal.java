package dev.agatepier.cli.process.internal;

/** A signal that may arrive before the process can handle it. */
public final class RememberedSignal implements Runnable {

  private Runnable action;
  private boolean arrived;

  /** Runs the action, or remembers that the signal has arrived if there is none yet. */
  @Override
  public synchronized void run() {
    if (action == null) {
      arrived = true;
    } else {
      action.run();
    }
  }

  /** Sets the action, and runs it once if the signal has arrived before. */
  public synchronized void handleWith(Runnable newAction) {
    action = newAction;
    if (arrived) {
      arrived = false;
      action.run();
    }
  }
}
