package dev.agatepier.wire.request;

import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;

/**
 * JSON body of an error response that the fleet generates.
 *
 * @param error description of the error
 */
public record ErrorBody(Detail error) {

  /** Returns the body for a request that fails before a response has started. */
  public static ErrorBody of(RequestId request, Outcome outcome, Reason reason, String message) {
    return new ErrorBody(new Detail(outcome.code(), reason.code(), message, request.toString()));
  }

  /**
   * Description of the error.
   *
   * @param outcome what is known about whether the request ran
   * @param reason stable reason code
   * @param message human-readable message
   * @param request identifier of the request
   */
  public record Detail(String outcome, String reason, String message, String request) {}
}
