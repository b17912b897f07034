package dev.agatepier.wire.version;

import java.util.concurrent.CompletionException;

/** Failures of futures in one line: an outage repeats them, and a trace each time says no more. */
final class FailureSummary {

  private FailureSummary() {}

  /** Returns what failed and what caused it. */
  static String of(Throwable failure) {
    Throwable own =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return own.getCause() == null ? own.toString() : own + ": " + own.getCause();
  }
}
