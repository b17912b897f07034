package dev.agatepier.cli.process;

import dev.agatepier.cli.process.internal.RememberedSignal;
import dev.agatepier.cli.process.internal.SignalHandlers;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Signals by which the platform asks a program of the fleet to check its settings or to stop. They
 * are remembered until the program can handle them, since the platform may send them at any time
 * after the start.
 */
public final class ProcessSignals {

  /**
   * Commands that run a process of the fleet; these log to standard output, others to standard
   * error. Signals end the other commands at once.
   */
  private static final Set<String> PROGRAMS = Set.of("router", "sidecar");

  private static final RememberedSignal HANGUP = new RememberedSignal();
  private static final RememberedSignal TERMINATION = new RememberedSignal();
  private static final AtomicBoolean INSTALLED = new AtomicBoolean();

  private ProcessSignals() {}

  /** Remembers signals from now on, if the arguments of the command line name a program. */
  public static void remember(String[] arguments) {
    if (namesProgram(arguments)) {
      install();
    }
  }

  /** Returns whether the arguments of the command line name a program of the fleet. */
  static boolean namesProgram(String[] arguments) {
    return arguments.length > 0 && PROGRAMS.contains(arguments[0]);
  }

  /** Runs an action at each SIGHUP, and now if one was remembered. */
  public static void onHangup(Runnable action) {
    install();
    HANGUP.handleWith(action);
  }

  /** Runs an action at each SIGTERM, and now if one was remembered. */
  public static void onTermination(Runnable action) {
    install();
    TERMINATION.handleWith(action);
  }

  private static void install() {
    if (INSTALLED.compareAndSet(false, true)) {
      SignalHandlers.handle("HUP", HANGUP);
      SignalHandlers.handle("TERM", TERMINATION);
    }
  }
}
