package dev.agatepier.wire.connection;

/** A link that could not be set up, or settings of links that cannot be used. */
public final class LinkException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the error with the reason that is logged. */
  public LinkException(String reason) {
    super(reason);
  }

  /** Turns an error of the layer below into one of this layer. */
  public LinkException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
