package dev.agatepier.standin.process;

/** Signals that trials send to processes. */
public enum ProcessSignal {
  /** Asks for a graceful stop. */
  TERM,
  /** Ends at once. */
  KILL,
  /** Pauses. */
  STOP,
  /** Goes on after a pause. */
  CONT
}
