package dev.agatepier.wire.request.internal;

import dev.agatepier.core.request.Header;
import dev.agatepier.wire.request.HeaderFields;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Set;

/** Tells header fields that the fleet passes on from those that it uses itself. */
public final class ForwardableHeaders {

  /** The field that the HTTP library sets itself, and those by which callers prove who they are. */
  private static final Set<String> NOT_PASSED_ON =
      Set.of("host", "authorization", "proxy-authorization");

  /** Start of the names that the fleet uses itself. */
  private static final String OWN_PREFIX = "agatepier-";

  private ForwardableHeaders() {}

  /** Returns the end-to-end fields, names in lower case, without credentials and the fleet's. */
  public static List<Header> of(HttpHeaders headers) {
    return HeaderFields.endToEnd(
        HeaderFields.of(headers),
        name -> NOT_PASSED_ON.contains(name) || name.startsWith(OWN_PREFIX));
  }
}
