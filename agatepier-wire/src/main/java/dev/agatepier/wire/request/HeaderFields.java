package dev.agatepier.wire.request;

import dev.agatepier.core.request.Header;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Reads header fields, and tells those that travel from end to end from those of one connection.
 */
public final class HeaderFields {

  /** Fields that concern one connection only. */
  private static final Set<String> CONNECTION =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "content-length");

  private HeaderFields() {}

  /** Returns the fields in their order, names in lower case. */
  public static List<Header> of(HttpHeaders headers) {
    List<Header> fields = new ArrayList<>();
    for (Map.Entry<String, String> entry : headers) {
      fields.add(new Header(entry.getKey().toLowerCase(Locale.ROOT), entry.getValue()));
    }
    return fields;
  }

  /**
   * Returns the fields without those of one connection and without further ones.
   *
   * @param headers fields, names in lower case
   * @param dropped tells the names of further fields
   */
  public static List<Header> endToEnd(List<Header> headers, Predicate<String> dropped) {
    Set<String> named = new HashSet<>();
    for (Header header : headers) {
      if (header.name().equals("connection")) {
        for (String name : header.value().split(",")) {
          named.add(name.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    List<Header> kept = new ArrayList<>();
    for (Header header : headers) {
      String name = header.name();
      if (!CONNECTION.contains(name) && !named.contains(name) && !dropped.test(name)) {
        kept.add(header);
      }
    }
    return kept;
  }
}
