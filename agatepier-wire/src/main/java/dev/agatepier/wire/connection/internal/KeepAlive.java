package dev.agatepier.wire.connection.internal;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Parses the Keep-Alive header. */
final class KeepAlive {

  private static final String TIMEOUT = "timeout=";

  /** Upper bound of the idle timeout, in seconds; longer announced timeouts are reduced to it. */
  private static final long MAXIMUM_SECONDS = 3_600;

  private KeepAlive() {}

  /** Returns the announced idle timeout in nanoseconds; empty if it is absent or not a number. */
  static OptionalLong timeoutNanos(String value) {
    for (String parameter : value.split(",")) {
      String text = parameter.strip();
      if (text.startsWith(TIMEOUT)) {
        try {
          long seconds = Long.parseLong(text.substring(TIMEOUT.length()).strip());
          return OptionalLong.of(TimeUnit.SECONDS.toNanos(Math.clamp(seconds, 0, MAXIMUM_SECONDS)));
        } catch (NumberFormatException malformed) {
          return OptionalLong.empty();
        }
      }
    }
    return OptionalLong.empty();
  }
}
