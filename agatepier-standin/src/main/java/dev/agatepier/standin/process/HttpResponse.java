package dev.agatepier.standin.process;

import java.util.Map;
import java.util.Objects;

/**
 * A whole answer to an HTTP call.
 *
 * @param status HTTP status
 * @param headers headers by lower-case name
 * @param trailers trailers by lower-case name
 * @param body the body
 * @param firstByteNanos time from the call to the first byte of the body, in nanoseconds
 * @param totalNanos time from the call to the end, in nanoseconds
 */
public record HttpResponse(
    int status,
    Map<String, String> headers,
    Map<String, String> trailers,
    String body,
    long firstByteNanos,
    long totalNanos) {

  /** Copies the maps. */
  public HttpResponse {
    headers = Map.copyOf(headers);
    trailers = Map.copyOf(trailers);
    Objects.requireNonNull(body, "body");
  }

  /** Returns whether the status is in the 200s. */
  public boolean successful() {
    return status >= 200 && status < 300;
  }
}
