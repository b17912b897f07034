package dev.agatepier.wire.request.internal;

import dev.agatepier.core.request.Reason;
import dev.agatepier.wire.request.CallRejectedException;
import java.util.Locale;

/**
 * Target of a request: a call of a service or a ticket for one.
 *
 * @param ticketRequested whether the request is for a ticket and not a call
 * @param service name of the service
 * @param path path and query below the service, starting with a slash
 */
public record CallTarget(boolean ticketRequested, String service, String path) {

  private static final String SERVICES_PREFIX = "/services/";
  private static final String TICKETS_PREFIX = "/tickets/";

  /**
   * Parses a request target; fails with {@link CallRejectedException} if it is not one that callers
   * may request.
   */
  public static CallTarget parse(String method, String target) {
    if (target.startsWith(TICKETS_PREFIX) && method.equals("POST")) {
      return new CallTarget(true, target.substring(TICKETS_PREFIX.length()), "/");
    }
    if (!target.startsWith(SERVICES_PREFIX)) {
      throw new CallRejectedException(
          Reason.SERVICE_UNKNOWN, "paths start with " + SERVICES_PREFIX + "{service}/");
    }
    int end = endOfServiceName(target);
    String remainder = target.substring(end);
    String path = remainder.startsWith("/") ? remainder : "/" + remainder;
    rejectDotSegments(path);
    return new CallTarget(false, target.substring(SERVICES_PREFIX.length(), end), path);
  }

  private static int endOfServiceName(String target) {
    int end = SERVICES_PREFIX.length();
    while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
      end++;
    }
    return end;
  }

  /**
   * Rejects dot segments: idempotent calls are recognised by a path prefix, which dot segments
   * would circumvent.
   */
  private static void rejectDotSegments(String path) {
    int query = path.indexOf('?');
    String pathOnly = query < 0 ? path : path.substring(0, query);
    for (String segment : pathOnly.split("/")) {
      String decoded = segment.toLowerCase(Locale.ROOT).replace("%2e", ".");
      if (decoded.equals(".") || decoded.equals("..")) {
        throw new CallRejectedException(Reason.BAD_REQUEST, "the path has a dot segment");
      }
    }
  }
}
