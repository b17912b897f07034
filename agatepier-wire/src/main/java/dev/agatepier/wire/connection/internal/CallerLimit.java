package dev.agatepier.wire.connection.internal;

/** Limits that callers who do not keep to the published ones meet. */
public enum CallerLimit {
  MEMORY_REJECTED("memory-rejected"),
  MEMORY_EVICTED("memory-evicted"),
  CONNECTIONS("connections"),
  PROBE_CONNECTIONS("probe-connections"),
  HEADER_FIELDS("header-fields"),
  CHUNK_OVERHEAD("chunk-overhead"),
  SLOW_BODY("slow-body"),
  SLOW_RESPONSE("slow-response");

  private final String code;

  CallerLimit(String code) {
    this.code = code;
  }

  /** Returns the stable code used in logs and metrics. */
  public String code() {
    return code;
  }
}
