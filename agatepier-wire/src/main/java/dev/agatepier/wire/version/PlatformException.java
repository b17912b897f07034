package dev.agatepier.wire.version;

/** The platform could not be read or gave something that cannot be used. */
public final class PlatformException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the error. */
  public PlatformException(String message) {
    super(message);
  }

  /** Creates the error with the error from below. */
  public PlatformException(String message, Throwable cause) {
    super(message, cause);
  }
}
