package dev.agatepier.wire.process;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * One call of the administration API.
 *
 * @param method HTTP method, upper case
 * @param pattern path, in which a segment in braces matches any one segment
 * @param unauthenticated whether it needs no key
 * @param handler answers it
 */
public record AdministrationRoute(
    String method, String pattern, boolean unauthenticated, AdministrationHandler handler) {

  /** Checks that every part is present. */
  public AdministrationRoute {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(pattern, "pattern");
    Objects.requireNonNull(handler, "handler");
  }

  /** Returns a route that needs the key and answers with the record supplied. */
  public static AdministrationRoute get(String pattern, Supplier<?> body) {
    return new AdministrationRoute(
        "GET",
        pattern,
        false,
        parameters -> CompletableFuture.completedFuture(AdministrationResponse.ok(body.get())));
  }

  /** Returns a route that needs the key. */
  public static AdministrationRoute of(
      String method, String pattern, AdministrationHandler handler) {
    return new AdministrationRoute(method, pattern, false, handler);
  }

  /** Returns the parameters in a path, or nothing if the route does not match. */
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
