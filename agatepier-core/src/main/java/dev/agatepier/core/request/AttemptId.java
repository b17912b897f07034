package dev.agatepier.core.request;

import java.util.Objects;

/**
 * Identifies one attempt to run a request on one upstream.
 *
 * @param request identity of the request
 * @param number number of the attempt within the request, from 1
 */
public record AttemptId(RequestId request, int number) {

  /** Rejects a null request and a number below 1. */
  public AttemptId {
    Objects.requireNonNull(request, "request");
    if (number < 1) {
      throw new IllegalArgumentException("attempt number " + number + " is below 1");
    }
  }
}
