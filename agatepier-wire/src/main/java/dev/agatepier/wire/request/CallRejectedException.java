package dev.agatepier.wire.request;

import dev.agatepier.core.request.Reason;

/** A call that is refused before any decision hears of it, and so did not run. */
public final class CallRejectedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Reason reason;

  /** Creates the refusal with what the caller is told. */
  public CallRejectedException(Reason reason, String message) {
    super(message, null, false, false);
    this.reason = reason;
  }

  /** Returns why the call is refused. */
  public Reason reason() {
    return reason;
  }
}
