package dev.agatepier.wire.process;

import java.util.Objects;

/**
 * Response of the administration API.
 *
 * @param status HTTP status
 * @param body record that is serialized as JSON
 */
public record AdministrationResponse(int status, Object body) {

  private static final int OK = 200;

  /** Requires a body. */
  public AdministrationResponse {
    Objects.requireNonNull(body, "body");
  }

  /** Returns a response with status 200. */
  public static AdministrationResponse ok(Object body) {
    return new AdministrationResponse(OK, body);
  }
}
