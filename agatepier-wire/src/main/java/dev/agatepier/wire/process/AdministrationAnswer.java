package dev.agatepier.wire.process;

import java.util.Objects;

/**
 * Answer of the administration API.
 *
 * @param status HTTP status
 * @param body record that is encoded as JSON
 */
public record AdministrationAnswer(int status, Object body) {

  private static final int OK = 200;

  /** Checks that there is a body. */
  public AdministrationAnswer {
    Objects.requireNonNull(body, "body");
  }

  /** Returns an ordinary answer. */
  public static AdministrationAnswer ok(Object body) {
    return new AdministrationAnswer(OK, body);
  }
}
