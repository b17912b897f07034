package dev.agatepier.wire.request;

/** A text that is no ticket of this fleet. */
public final class TicketException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the error with the reason that the caller is told. */
  public TicketException(String reason) {
    super(reason);
  }

  /** Turns an error of the library below into one of this layer. */
  public TicketException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
