package dev.agatepier.wire.process;

import java.util.Objects;

/**
 * Answer of the administration API.
 *
 * @param status HTTP status
 * @param body record that is encoded as JSON
 */
public record AdministrationResponse(int status, Object body) {

  private static final int OK = 200;

  /** Checks that there is a body. */
  public AdministrationResponse {
    Objects.requireNonNull(body, "body");
  }

  /** Returns an ordinary answer. */
  public static AdministrationResponse ok(Object body) {
    return new AdministrationResponse(OK, body);
  }
}
