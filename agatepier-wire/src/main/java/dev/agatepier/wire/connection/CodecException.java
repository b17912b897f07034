package dev.agatepier.wire.connection;

/** Bytes that are no message, or a message that exceeds the bounds of the wire. */
public final class CodecException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the error with the reason that is logged. */
  public CodecException(String reason) {
    super(reason);
  }

  /** Turns an error of the library below into one of this layer. */
  public CodecException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
