package dev.agatepier.wire.request;

import dev.agatepier.core.request.Reason;

/** Rejects a call before it reaches the router's decision; such a call has not run. */
public final class CallRejectedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Reason reason;

  /**
   * Creates the exception; it has no stack trace.
   *
   * @param reason stable reason code
   * @param message sent to the caller; existing messages are part of the API and must not change
   */
  public CallRejectedException(Reason reason, String message) {
    super(message, null, false, false);
    this.reason = reason;
  }

  /** Returns the reason code that is sent to the caller. */
  public Reason reason() {
    return reason;
  }
}
