package dev.agatepier.standin.process.internal;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;

/**
 * Query parameters of an HTTP request.
 *
 * @param values values by name
 */
record QueryParameters(Map<String, List<String>> values) {

  QueryParameters {
    values = Map.copyOf(values);
  }

  static QueryParameters of(String uri) {
    return new QueryParameters(new QueryStringDecoder(uri).parameters());
  }

  boolean has(String name) {
    return values.containsKey(name);
  }

  /** Returns a parameter as a number, or the default if it is absent or malformed. */
  long number(String name, long defaultValue) {
    try {
      return has(name) ? Long.parseLong(values.get(name).getFirst()) : defaultValue;
    } catch (NumberFormatException malformed) {
      return defaultValue;
    }
  }
}
