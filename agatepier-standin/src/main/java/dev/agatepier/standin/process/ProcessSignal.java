package dev.agatepier.standin.process;

/** POSIX signals sent to child processes. */
public enum ProcessSignal {
  /** Requests a graceful stop. */
  TERM,
  /** Kills the process immediately. */
  KILL,
  /** Suspends the process. */
  STOP,
  /** Resumes a suspended process. */
  CONT
}
