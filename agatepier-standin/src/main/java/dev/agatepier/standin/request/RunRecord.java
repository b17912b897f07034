package dev.agatepier.standin.request;

import java.util.Objects;

/**
 * Record of one request that an upstream stand-in received. A later record of the same process and
 * number replaces an earlier one.
 *
 * @param process process id of the stand-in
 * @param number sequence number within that process, from 1
 * @param request value of the request's {@code agatepier-request} header; empty for none
 * @param attempt value of the request's {@code agatepier-attempt} header; empty for none
 * @param method HTTP method
 * @param path path with query
 * @param bodyDigest lower-case hexadecimal SHA-256 of the body
 * @param startedMillis start time, in milliseconds since the epoch
 * @param state progress of the request
 */
public record RunRecord(
    long process,
    long number,
    String request,
    String attempt,
    String method,
    String path,
    String bodyDigest,
    long startedMillis,
    State state) {

  /** Progress of a request. */
  public enum State {
    /** The request is running. */
    RUNNING,
    /** The response was sent completely. */
    WHOLE,
    /** The request ended before the response was complete. */
    CUT
  }

  /** Rejects null components. */
  public RunRecord {
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(attempt, "attempt");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(bodyDigest, "bodyDigest");
    Objects.requireNonNull(state, "state");
  }

  /** Returns a copy with another state. */
  public RunRecord withState(State next) {
    return new RunRecord(
        process, number, request, attempt, method, path, bodyDigest, startedMillis, next);
  }
}
