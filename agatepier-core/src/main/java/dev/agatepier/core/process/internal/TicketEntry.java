package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Fingerprint;
import dev.agatepier.core.request.ResponseHead;
import java.util.ArrayList;
import java.util.List;

/** The record of the only run of a ticketed request, with its stored response. */
final class TicketEntry {

  /** The state of the run. */
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
