package dev.agatepier.wire.version;

/** The platform could not be read, or its response is invalid. */
public final class PlatformException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception for a failure without an underlying exception. */
  public PlatformException(String message) {
    super(message);
  }

  /** Creates the exception with the underlying failure. */
  public PlatformException(String message, Throwable cause) {
    super(message, cause);
  }
}
