package dev.agatepier.wire.request;

/** A ticket could not be encoded, is malformed or was not issued by this fleet. */
public final class TicketException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message; that of a failed decoding is sent to the caller. */
  public TicketException(String reason) {
    super(reason);
  }

  /** Creates the exception with a message and the underlying failure. */
  public TicketException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
