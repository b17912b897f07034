package dev.agatepier.wire.version;

import java.util.concurrent.CompletionException;

/**
 * Summarises the failure of a future in one line. An outage repeats the same failure many times,
 * and a stack trace for each would add nothing.
 */
public final class FailureSummary {

  private FailureSummary() {}

  /** Returns the failure and its cause, without the exception that the future wraps around it. */
  public static String of(Throwable failure) {
    Throwable unwrapped =
        failure instanceof CompletionException && failure.getCause() != null
            ? failure.getCause()
            : failure;
    return unwrapped.getCause() == null
        ? unwrapped.toString()
        : unwrapped + ": " + unwrapped.getCause();
  }
}
