package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.AttemptMessage.StartAttempt;
import java.util.Optional;

/** An attempt that holds a slot: it waits to run exclusively, or was sent to the upstream. */
final class RunningAttempt {
  final StartAttempt start;
  final String router;
  final long acceptedNanos;
  final Optional<TicketEntry> ticket;
  double charged;
  long startedNanos;
  long lastTokenNanos;
  long tokens;
  int frames;
  boolean withdrawn;
  boolean detached;

  RunningAttempt(
      StartAttempt start,
      String router,
      double charged,
      long acceptedNanos,
      Optional<TicketEntry> ticket) {
    this.start = start;
    this.router = router;
    this.charged = charged;
    this.acceptedNanos = acceptedNanos;
    this.ticket = ticket;
  }

  /** Returns whether the upstream was asked to cancel the attempt. */
  boolean cancelled() {
    return withdrawn || (detached && ticket.isEmpty());
  }

  long timeLeftMillis(long nowNanos) {
    return start.timeLeftMillis() - (nowNanos - acceptedNanos) / 1_000_000;
  }
}
