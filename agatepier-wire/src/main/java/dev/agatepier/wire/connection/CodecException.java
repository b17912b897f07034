package dev.agatepier.wire.connection;

/** Thrown for bytes that are not a valid message and for messages that exceed a wire limit. */
public final class CodecException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception; the reason is logged and may become the close reason of a link. */
  public CodecException(String reason) {
    super(reason);
  }

  /** Wraps an exception of the MessagePack library. */
  public CodecException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
