package dev.agatepier.core.process;

/** What a slot allocator knows of the caller of a request from its own earlier rejections. */
public enum CallerReturn {
  /** Not rejected here before, as far as known. */
  NONE("none"),
  /** Rejected here before, and back before its retry time. */
  EARLY("early"),
  /** Rejected here before, and back at its retry time. */
  KEPT("kept");

  private final String code;

  CallerReturn(String code) {
    this.code = code;
  }

  /** Returns the name in logs and metrics. */
  public String code() {
    return code;
  }
}
