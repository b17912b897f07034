package dev.agatepier.wire.process;

/** Thrown when an HTTP listener cannot be started. */
public final class ListenerException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Wraps the error of the HTTP server. */
  public ListenerException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
