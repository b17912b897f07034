package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Fingerprint;
import java.util.ArrayList;
import java.util.List;

/** What is remembered of the one run of a ticketed request. */
final class TicketEntry {

  /** How far the run has come. */
  enum State {
    RUNNING,
    COMPLETED,
    FAILED
  }

  final long issuedMillis;
  final Fingerprint fingerprint;
  State state = State.RUNNING;
  ResponseHead head;
  List<Bytes> frames = new ArrayList<>();
  long bytes;
  boolean discarded;

  TicketEntry(long issuedMillis, Fingerprint fingerprint) {
    this.issuedMillis = issuedMillis;
    this.fingerprint = fingerprint;
  }
}
