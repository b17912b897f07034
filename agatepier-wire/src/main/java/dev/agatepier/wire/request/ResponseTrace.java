package dev.agatepier.wire.request;

/**
 * How the response of an upstream was delimited and received, for logs and metrics.
 *
 * @param delimiter what marks the end of the body
 * @param trailerFields number of fields of the trailer section that were decoded
 * @param connectionReused whether the connection carried an earlier attempt
 * @param requestWritten whether the whole request was written before the response ended
 */
public record ResponseTrace(
    Delimiter delimiter, int trailerFields, boolean connectionReused, boolean requestWritten) {

  /** What marks the end of a response body. */
  public enum Delimiter {
    /** No head was received. */
    UNKNOWN("unknown"),
    NO_BODY("no-body"),
    CONTENT_LENGTH("content-length"),
    CHUNKED("chunked"),
    CONNECTION_CLOSE("connection-close");

    private final String code;

    Delimiter(String code) {
      this.code = code;
    }

    /** Returns the stable code for logs and metric names. */
    public String code() {
      return code;
    }
  }

  /** Checks that the number of fields is not negative. */
  public ResponseTrace {
    if (trailerFields < 0) {
      throw new IllegalArgumentException("negative number of trailer fields: " + trailerFields);
    }
  }

  /** Returns whether the end of a complete response is less certain than that of most. */
  public boolean uncertain() {
    return delimiter == Delimiter.CONNECTION_CLOSE || trailerFields > 0 || !requestWritten;
  }
}
