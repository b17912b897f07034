package dev.agatepier.standin.process;

/** A fleet of child processes could not be brought into the state that was asked for. */
public final class FleetException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the error of something found wrong. */
  public FleetException(String message) {
    super(message);
  }

  /** Creates the error that turns one from below. */
  public FleetException(String message, Throwable cause) {
    super(message, cause);
  }
}
