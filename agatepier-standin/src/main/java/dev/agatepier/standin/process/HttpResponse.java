package dev.agatepier.standin.process;

import java.util.Map;
import java.util.Objects;

/**
 * A complete HTTP response with its timings.
 *
 * @param status HTTP status
 * @param headers header values by lower-case name
 * @param trailers trailer values by lower-case name
 * @param body body, decoded as UTF-8
 * @param firstByteNanos time from the start of the call to the first byte of the body, in
 *     nanoseconds; the total time if the body is empty
 * @param totalNanos time from the start of the call to the end of the response, in nanoseconds
 */
public record HttpResponse(
    int status,
    Map<String, String> headers,
    Map<String, String> trailers,
    String body,
    long firstByteNanos,
    long totalNanos) {

  /** Copies the maps and rejects a null body. */
  public HttpResponse {
    headers = Map.copyOf(headers);
    trailers = Map.copyOf(trailers);
    Objects.requireNonNull(body, "body");
  }

  /** Returns whether the status is in the range 200 to 299. */
  public boolean successful() {
    return status >= 200 && status < 300;
  }
}
