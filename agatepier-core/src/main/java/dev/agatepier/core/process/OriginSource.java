package dev.agatepier.core.process;

/** How a router found the software version that began a stream. */
public enum OriginSource {
  /** Not at all: the call may run at any software version. */
  UNBOUND("unbound", true);

  private final String code;
  private final boolean resumes;

  OriginSource(String code, boolean resumes) {
    this.code = code;
    this.resumes = resumes;
  }

  /** Returns the stable code used in logs and metrics. */
  public String code() {
    return code;
  }

  /** Returns whether the stream may be resumed. */
  public boolean resumes() {
    return resumes;
  }
}
