package dev.agatepier.standin.process.internal;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;

/**
 * The query of a call.
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

  /** Returns a number, or a default where it is absent or malformed. */
  long number(String name, long otherwise) {
    try {
      return has(name) ? Long.parseLong(values.get(name).getFirst()) : otherwise;
    } catch (NumberFormatException malformed) {
      return otherwise;
    }
  }
}
