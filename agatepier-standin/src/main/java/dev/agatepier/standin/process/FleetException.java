package dev.agatepier.standin.process;

/** A fleet of child processes could not reach the requested state. */
public final class FleetException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  public FleetException(String message) {
    super(message);
  }

  /** Creates an exception that wraps a cause. */
  public FleetException(String message, Throwable cause) {
    super(message, cause);
  }
}
