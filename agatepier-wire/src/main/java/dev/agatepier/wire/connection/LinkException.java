package dev.agatepier.wire.connection;

/** Thrown when a link or its listener cannot be set up, or link settings cannot be used. */
public final class LinkException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception; the reason is logged and may become the close reason of a link. */
  public LinkException(String reason) {
    super(reason);
  }

  /** Wraps an exception of the network or TLS library. */
  public LinkException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
