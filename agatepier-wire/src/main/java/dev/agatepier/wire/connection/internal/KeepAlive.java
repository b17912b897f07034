package dev.agatepier.wire.connection.internal;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/** Reads the Keep-Alive header. */
final class KeepAlive {

  private static final String TIMEOUT = "timeout=";

  /** Longest idle time that is believed, in seconds. */
  private static final long MOST_SECONDS = 3_600;

  private KeepAlive() {}

  /** Returns for how long a connection may stay idle, in nanoseconds, if the header says so. */
  static OptionalLong timeoutNanos(String value) {
    for (String parameter : value.split(",")) {
      String text = parameter.strip();
      if (text.startsWith(TIMEOUT)) {
        try {
          long seconds = Long.parseLong(text.substring(TIMEOUT.length()).strip());
          return OptionalLong.of(TimeUnit.SECONDS.toNanos(Math.clamp(seconds, 0, MOST_SECONDS)));
        } catch (NumberFormatException notNumber) {
          return OptionalLong.empty();
        }
      }
    }
    return OptionalLong.empty();
  }
}
