package dev.agatepier.standin.request;

/** How a call ended, as its caller saw it. */
public enum CallOutcome {
  /** A whole answer, marked completed, with the content expected. */
  COMPLETED,
  /** A refusal that says that the request did not run. */
  NOT_RUN,
  /** An error that says that the request may have run. */
  UNKNOWN,
  /** A transfer broken off before its end. */
  BROKEN,
  /** A whole answer of a success without the mark of the fleet. */
  UNMARKED,
  /** A whole answer with another content than expected. */
  WRONG,
  /** An answer of the upstream that is not a success. */
  UPSTREAM_ERROR,
  /** No answer in the caller's time. */
  TIMED_OUT,
  /** No connection to the router. */
  UNREACHABLE
}
