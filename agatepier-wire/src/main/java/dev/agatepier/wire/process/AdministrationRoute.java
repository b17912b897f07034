package dev.agatepier.wire.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Route of the administration API.
 *
 * @param method HTTP method in upper case
 * @param pattern path pattern; a segment in braces matches any single non-empty segment
 * @param unauthenticated whether requests need no key
 * @param handler handles matching requests
 */
public record AdministrationRoute(
    String method, String pattern, boolean unauthenticated, AdministrationHandler handler) {

  /** Requires every component. */
  public AdministrationRoute {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(pattern, "pattern");
    Objects.requireNonNull(handler, "handler");
  }

  /** Returns a GET route that requires the key and responds with the supplied record. */
  public static AdministrationRoute get(String pattern, Supplier<?> body) {
    return new AdministrationRoute(
        "GET",
        pattern,
        false,
        parameters -> CompletableFuture.completedFuture(AdministrationResponse.ok(body.get())));
  }

  /** Returns a route that requires the key. */
  public static AdministrationRoute of(
      String method, String pattern, AdministrationHandler handler) {
    return new AdministrationRoute(method, pattern, false, handler);
  }

  /** Returns the path parameters, or empty if the route does not match. */
  Optional<Map<String, String>> match(String requestMethod, String path) {
    String[] expected = pattern.split("/", -1);
    String[] actual = path.split("/", -1);
    if (!method.equals(requestMethod) || expected.length != actual.length) {
      return Optional.empty();
    }
    Map<String, String> parameters = new HashMap<>();
    for (int index = 0; index < expected.length; index++) {
      String segment = expected[index];
      if (segment.startsWith("{") && !actual[index].isEmpty()) {
        parameters.put(segment.substring(1, segment.length() - 1), actual[index]);
      } else if (!segment.equals(actual[index])) {
        return Optional.empty();
      }
    }
    return Optional.of(parameters);
  }
}
