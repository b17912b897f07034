package dev.agatepier.wire.request.internal;

import dev.agatepier.core.request.Header;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Tells header fields that travel from end to end from those of one connection. */
public final class HopHeaders {

  /** Fields of one connection, and those that the HTTP library sets itself. */
  private static final Set<String> CONNECTION =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "host",
          "expect",
          "content-length");

  /** Fields by which callers prove who they are. */
  private static final Set<String> CREDENTIALS = Set.of("authorization", "proxy-authorization");

  /** Start of the names that the fleet uses itself. */
  private static final String OWN_PREFIX = "agatepier-";

  private HopHeaders() {}

  /** Returns the end-to-end fields, names in lower case, without credentials and the fleet's. */
  public static List<Header> endToEnd(HttpHeaders headers) {
    Set<String> named = new HashSet<>();
    for (String value : headers.getAll("connection")) {
      for (String name : value.split(",")) {
        named.add(name.strip().toLowerCase(Locale.ROOT));
      }
    }
    List<Header> kept = new ArrayList<>();
    for (Map.Entry<String, String> entry : headers) {
      String name = entry.getKey().toLowerCase(Locale.ROOT);
      if (!CONNECTION.contains(name)
          && !CREDENTIALS.contains(name)
          && !named.contains(name)
          && !name.startsWith(OWN_PREFIX)) {
        kept.add(new Header(name, entry.getValue()));
      }
    }
    return kept;
  }
}
