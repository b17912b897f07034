package dev.agatepier.core.request;

import java.util.Objects;

/**
 * Names one attempt to run a request on one upstream.
 *
 * @param request the request being attempted
 * @param number attempt number within the request, from 1
 */
public record AttemptId(RequestId request, int number) {

  /** Checks that the request is named and the number is positive. */
  public AttemptId {
    Objects.requireNonNull(request, "request");
    if (number < 1) {
      throw new IllegalArgumentException("attempt number " + number + " is below 1");
    }
  }
}
