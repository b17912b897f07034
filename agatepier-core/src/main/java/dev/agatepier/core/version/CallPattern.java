package dev.agatepier.core.version;

import java.util.Objects;

/**
 * Matches calls by method and path prefix.
 *
 * @param method HTTP method, upper case
 * @param pathPrefix start of the path, with its leading slash
 */
public record CallPattern(String method, String pathPrefix) {

  /** Rejects null parts. */
  public CallPattern {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(pathPrefix, "pathPrefix");
  }

  /** Returns whether the method is equal and the path starts with the prefix. */
  public boolean matches(String callMethod, String callPath) {
    return method.equals(callMethod) && callPath.startsWith(pathPrefix);
  }
}
