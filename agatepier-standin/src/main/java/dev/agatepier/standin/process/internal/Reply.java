package dev.agatepier.standin.process.internal;

import java.util.Objects;

/** How a stand-in answers an HTTP call. */
sealed interface Reply {

  /**
   * An ordinary answer.
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

  /** The connection is closed without an answer. */
  record Reset() implements Reply {}

  /** Returns an answer in JSON. */
  static Reply json(int status, String body) {
    return new Content(status, "application/json", body);
  }

  /** Returns an answer that says what was wrong with a call. */
  static Reply error(int status, String message) {
    return json(status, Json.object().put("error", message).toString());
  }

  /** Returns the answer of a healthy stand-in. */
  static Reply healthy() {
    return json(200, "{\"status\":\"up\"}");
  }

  /** Returns an answer without a body. */
  static Reply empty(int status) {
    return new Content(status, "application/json", "");
  }
}
