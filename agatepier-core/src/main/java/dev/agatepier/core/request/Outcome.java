package dev.agatepier.core.request;

/** What a caller is told about whether its request ran. */
public enum Outcome {
  /** The request ran and the answer is whole. */
  COMPLETED("completed"),
  /** The request is proven not to have run and never will. */
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
