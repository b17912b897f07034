package dev.agatepier.standin.request;

/** Outcome of a call as observed by the caller. */
public enum CallOutcome {
  /** A complete response with the outcome {@code completed} and the expected body. */
  COMPLETED,
  /** A response with the outcome {@code not-run}: the request was rejected. */
  NOT_RUN,
  /** A response with the outcome {@code unknown}: the request may have run. */
  UNKNOWN,
  /** The transfer failed before the end of the response. */
  BROKEN,
  /** A complete successful response without the fleet's outcome header or trailer. */
  UNMARKED,
  /** A complete response with the outcome {@code completed}, but not the expected body. */
  WRONG,
  /** A response whose status is not 2xx, without the outcome {@code not-run} or {@code unknown}. */
  UPSTREAM_ERROR,
  /** No complete response within the caller's timeout. */
  TIMED_OUT,
  /** The connection to the router failed. */
  UNREACHABLE
}
