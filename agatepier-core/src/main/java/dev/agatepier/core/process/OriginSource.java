package dev.agatepier.core.process;

/** How a router found the software version that began a stream. */
public enum OriginSource {
  /** The router itself relayed the first event, or was told of it. */
  LOCAL("local", true),
  /** Another router has replied with it. */
  PEER("peer", true),
  /** The process beside the upstream that began the stream has replied with it. */
  CACHE("cache", true),
  /** The service has had no other software version since the stream can have begun. */
  ONLY_VERSION("only-version", true),
  /** Not at all, as the upstream that began the stream may have been replaced: it is rejected. */
  UNCERTAIN("uncertain", false),
  /** Not at all: the call is rejected. */
  UNKNOWN("unknown", false);

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
