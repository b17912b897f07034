package dev.agatepier.core.request;

/** Why a request was rejected or failed. Each reason has a stable code and an HTTP status. */
public enum Reason {
  KEY_MISSING("key-missing", 401),
  KEY_WRONG("key-wrong", 401),
  SERVICE_UNKNOWN("service-unknown", 404),
  SERVICE_NOT_ALLOWED("service-not-allowed", 403),
  BODY_TOO_LARGE("body-too-large", 413),
  BAD_REQUEST("bad-request", 400),
  HEAD_TOO_LARGE("head-too-large", 431),
  HEAD_TIMEOUT("head-timeout", 408),
  BODY_TIMEOUT("body-timeout", 408),
  ROUTE_UNKNOWN("route-unknown", 404),
  LIMIT_WAITING("limit-waiting", 429),
  LIMIT_COST("limit-cost", 429),
  OVERLOADED("overloaded", 429),
  DEADLINE("deadline", 504),
  CALLER_GONE("caller-gone", 499),
  QUARANTINED("quarantined", 422),
  DRAINING("draining", 503),
  NOT_READY("not-ready", 503),
  NO_UPSTREAM("no-upstream", 503),
  NO_PERMITTED_UPSTREAM("no-permitted-upstream", 503),
  NO_UPSTREAM_OF_VERSION("no-upstream-of-version", 503),
  STREAM_ORIGIN_UNKNOWN("stream-origin-unknown", 503),
  STALE_TABLE("stale-table", 503),
  UPSTREAM_UNREACHABLE("upstream-unreachable", 503),
  UPSTREAM_BUSY("upstream-busy", 503),
  UPSTREAM_OTHER("upstream-other", 503),
  RETRY_BUDGET("retry-budget", 503),
  WITHDRAWN("withdrawn", 503),
  UPSTREAM_FAILED("upstream-failed", 502),
  UPSTREAM_DIED("upstream-died", 502),
  LINK_LOST("link-lost", 502),
  ANSWER_INCOMPLETE("answer-incomplete", 502),
  TICKET_INVALID("ticket-invalid", 400),
  TICKET_EXPIRED("ticket-expired", 409),
  TICKET_HOME_GONE("ticket-home-gone", 409),
  TICKET_IN_PROGRESS("ticket-in-progress", 409),
  TICKET_ANSWER_FORGOTTEN("ticket-answer-forgotten", 409);

  private final String code;
  private final int status;

  Reason(String code, int status) {
    this.code = code;
    this.status = status;
  }

  /** Returns the stable code used in error bodies, logs and metrics. */
  public String code() {
    return code;
  }

  /** Returns the HTTP status of a response that fails with this reason. */
  public int status() {
    return status;
  }
}
