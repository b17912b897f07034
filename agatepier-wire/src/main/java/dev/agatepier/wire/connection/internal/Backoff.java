package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.connection.LinkSettings;
import java.util.concurrent.ThreadLocalRandom;

/** Exponential backoff between connection attempts, with jitter over the upper half of a delay. */
public final class Backoff {

  private final LinkSettings settings;
  private long currentMillis;

  /** Creates a backoff that starts at the minimum of the settings. */
  public Backoff(LinkSettings settings) {
    this.settings = settings;
    reset();
  }

  /** Returns to the minimum delay. */
  public void reset() {
    currentMillis = settings.minimumBackoffMillis();
  }

  /** Returns the next delay in milliseconds and doubles the one after it, up to the maximum. */
  public long nextDelayMillis() {
    long current = currentMillis;
    currentMillis = Math.min(settings.maximumBackoffMillis(), 2 * current);
    return ThreadLocalRandom.current().nextLong((current + 1) / 2, current + 1);
  }
}
