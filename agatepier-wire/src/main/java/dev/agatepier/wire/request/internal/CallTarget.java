package dev.agatepier.wire.request.internal;

import dev.agatepier.core.request.Reason;
import dev.agatepier.wire.request.CallRejectedException;
import java.util.Locale;

/**
 * What a request line asks for.
 *
 * @param ticketRequested whether it asks for a ticket in place of a call
 * @param service name of the service
 * @param path path and query below the service, starting with a slash
 */
public record CallTarget(boolean ticketRequested, String service, String path) {

  private static final String SERVICES = "/services/";
  private static final String TICKETS = "/tickets/";

  /**
   * Parses a request target; fails with {@link CallRejectedException} if it is none that callers
   * may ask.
   */
  public static CallTarget parse(String method, String target) {
    if (target.startsWith(TICKETS) && method.equals("POST")) {
      return new CallTarget(true, target.substring(TICKETS.length()), "/");
    }
    if (!target.startsWith(SERVICES)) {
      throw new CallRejectedException(
          Reason.SERVICE_UNKNOWN, "paths start with " + SERVICES + "{service}/");
    }
    int end = serviceEnd(target);
    String rest = target.substring(end);
    String path = rest.startsWith("/") ? rest : "/" + rest;
    requireNoDotSegments(path);
    return new CallTarget(false, target.substring(SERVICES.length(), end), path);
  }

  private static int serviceEnd(String target) {
    int end = SERVICES.length();
    while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
      end++;
    }
    return end;
  }

  /** Idempotent calls are told by the start of their path, which dot segments would change. */
  private static void requireNoDotSegments(String path) {
    int query = path.indexOf('?');
    String plain = query < 0 ? path : path.substring(0, query);
    for (String segment : plain.split("/")) {
      String decoded = segment.toLowerCase(Locale.ROOT).replace("%2e", ".");
      if (decoded.equals(".") || decoded.equals("..")) {
        throw new CallRejectedException(Reason.BAD_REQUEST, "the path has a dot segment");
      }
    }
  }
}
