package dev.agatepier.wire.request.internal;

import dev.agatepier.core.request.Header;
import dev.agatepier.wire.request.HeaderFields;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Set;

/** Selects the header fields that the fleet forwards. */
public final class ForwardableHeaders {

  /** The field that the HTTP library sets itself, and the credentials of callers. */
  private static final Set<String> NOT_FORWARDED =
      Set.of("host", "authorization", "proxy-authorization");

  /** Prefix of the header fields that are reserved for the fleet. */
  private static final String FLEET_PREFIX = "agatepier-";

  private ForwardableHeaders() {}

  /**
   * Returns the end-to-end fields in order, with names in lower case, without credentials and the
   * fleet's own fields.
   */
  public static List<Header> of(HttpHeaders headers) {
    return HeaderFields.endToEnd(
        HeaderFields.of(headers),
        name -> NOT_FORWARDED.contains(name) || name.startsWith(FLEET_PREFIX));
  }
}
