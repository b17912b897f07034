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

/** Reads header fields and separates end-to-end fields from hop-by-hop fields. */
public final class HeaderFields {

  /** Fields that apply to a single connection and must not be forwarded. */
  private static final Set<String> HOP_BY_HOP =
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

  /** Returns the fields in order, with names in lower case. */
  public static List<Header> of(HttpHeaders headers) {
    List<Header> fields = new ArrayList<>();
    for (Map.Entry<String, String> entry : headers) {
      fields.add(new Header(entry.getKey().toLowerCase(Locale.ROOT), entry.getValue()));
    }
    return fields;
  }

  /**
   * Returns the end-to-end fields: without the fixed hop-by-hop fields, those that a {@code
   * Connection} field names, and the excluded ones.
   *
   * @param headers fields in order, with names in lower case
   * @param excluded whether a field of the given name is removed too
   */
  public static List<Header> endToEnd(List<Header> headers, Predicate<String> excluded) {
    Set<String> connectionOptions = new HashSet<>();
    for (Header header : headers) {
      if (header.name().equals("connection")) {
        for (String name : header.value().split(",")) {
          connectionOptions.add(name.strip().toLowerCase(Locale.ROOT));
        }
      }
    }
    List<Header> forwarded = new ArrayList<>();
    for (Header header : headers) {
      String name = header.name();
      if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name) && !excluded.test(name)) {
        forwarded.add(header);
      }
    }
    return forwarded;
  }
}
