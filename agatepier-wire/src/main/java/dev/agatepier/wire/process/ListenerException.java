package dev.agatepier.wire.process;

/** An HTTP listener that could not be started. */
public final class ListenerException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Turns an error of the layer below into one of this layer. */
  public ListenerException(String reason, Throwable cause) {
    super(reason, cause);
  }
}
