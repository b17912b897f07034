package dev.agatepier.standin.process.internal;

import java.util.Objects;

/** Response of a stand-in to an HTTP request. */
sealed interface Reply {

  /**
   * A response with a status and a body.
   *
   * @param status HTTP status
   * @param contentType value of the content type header
   * @param body the body; empty for none
   */
  record Content(int status, String contentType, String body) implements Reply {
    public Content {
      Objects.requireNonNull(contentType, "contentType");
      Objects.requireNonNull(body, "body");
    }
  }

  /** The connection is closed without a response. */
  record Reset() implements Reply {}

  /** Returns a response in JSON. */
  static Reply json(int status, String body) {
    return new Content(status, "application/json", body);
  }

  /** Returns an error response with a message in JSON. */
  static Reply error(int status, String message) {
    return json(status, Json.object().put("error", message).toString());
  }

  /** Returns the response of a healthy stand-in. */
  static Reply healthy() {
    return json(200, "{\"status\":\"up\"}");
  }

  /** Returns a response without a body. */
  static Reply empty(int status) {
    return new Content(status, "application/json", "");
  }
}
