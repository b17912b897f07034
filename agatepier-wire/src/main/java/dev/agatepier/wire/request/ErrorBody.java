package dev.agatepier.wire.request;

import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;

/**
 * Body of an error that the fleet makes.
 *
 * @param error the error
 */
public record ErrorBody(Detail error) {

  /** Returns the body for a request that ends without an answer. */
  public static ErrorBody of(RequestId request, Outcome outcome, Reason reason, String message) {
    return new ErrorBody(new Detail(outcome.code(), reason.code(), message, request.toString()));
  }

  /**
   * What went wrong.
   *
   * @param outcome what is known about whether the request ran
   * @param reason stable code of the reason
   * @param message text for people
   * @param request the request
   */
  public record Detail(String outcome, String reason, String message, String request) {}
}
