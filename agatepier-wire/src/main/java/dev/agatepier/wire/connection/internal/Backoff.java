package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.connection.LinkSettings;
import java.util.concurrent.ThreadLocalRandom;

/** Times between attempts to connect: doubling, with jitter over the upper half. */
public final class Backoff {

  private final LinkSettings settings;
  private long currentMillis;

  /** Creates a back-off that begins with the shortest time of the settings. */
  public Backoff(LinkSettings settings) {
    this.settings = settings;
    reset();
  }

  /** Begins with the shortest time again. */
  public void reset() {
    currentMillis = settings.minimumBackoffMillis();
  }

  /** Returns the time to wait, in milliseconds, and doubles the next. */
  public long nextDelayMillis() {
    long current = currentMillis;
    currentMillis = Math.min(settings.maximumBackoffMillis(), 2 * current);
    return ThreadLocalRandom.current().nextLong((current + 1) / 2, current + 1);
  }
}
