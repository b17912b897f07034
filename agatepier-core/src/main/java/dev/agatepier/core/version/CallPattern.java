package dev.agatepier.core.version;

import java.util.Objects;

/**
 * Matches calls by method and path prefix.
 *
 * @param method HTTP method, upper case
 * @param pathPrefix start of the path, with its leading slash
 */
public record CallPattern(String method, String pathPrefix) {

  /** Checks that both parts are present. */
  public CallPattern {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(pathPrefix, "pathPrefix");
  }

  /** Returns whether a call is covered by this pattern. */
  public boolean matches(String callMethod, String callPath) {
    return method.equals(callMethod) && callPath.startsWith(pathPrefix);
  }
}
