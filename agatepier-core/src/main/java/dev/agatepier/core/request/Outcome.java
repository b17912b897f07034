package dev.agatepier.core.request;

/** Whether a request ran, as it is reported to the caller. */
public enum Outcome {
  /** The request ran and its response is complete. */
  COMPLETED("completed"),
  /** The request provably did not run and never will. */
  NOT_RUN("not-run"),
  /** The request may or may not have run. */
  UNKNOWN("unknown");

  private final String code;

  Outcome(String code) {
    this.code = code;
  }

  /** Returns the value used in headers and error bodies. */
  public String code() {
    return code;
  }
}
