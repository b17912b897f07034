package dev.agatepier.standin.request;

import java.util.Objects;

/**
 * What an upstream stand-in remembers of one request that reached it. A later record of the same
 * process and number replaces an earlier one.
 *
 * @param process process id of the stand-in
 * @param number sequence number within that process, from 1
 * @param request value of the request's {@code agatepier-request} header; empty for none
 * @param attempt value of the request's {@code agatepier-attempt} header; empty for none
 * @param method HTTP method
 * @param path path with query
 * @param bodyDigest lower-case hexadecimal SHA-256 of the body
 * @param startedMillis start, in milliseconds since the epoch
 * @param state how far the request came
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

  /** How far a request came. */
  public enum State {
    /** It started and has not ended. */
    RUNNING,
    /** It ended with a whole answer. */
    WHOLE,
    /** It ended before its answer was whole. */
    CUT
  }

  /** Checks that every part is present. */
  public RunRecord {
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(attempt, "attempt");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(bodyDigest, "bodyDigest");
    Objects.requireNonNull(state, "state");
  }

  /** Returns this record in another state. */
  public RunRecord withState(State next) {
    return new RunRecord(
        process, number, request, attempt, method, path, bodyDigest, startedMillis, next);
  }
}
