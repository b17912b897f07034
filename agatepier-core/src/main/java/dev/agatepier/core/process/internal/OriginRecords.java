package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.StreamMessage.StreamBegan;
import dev.agatepier.core.request.StreamKey;
import java.util.Optional;

/** The software versions that began streams, recorded here and at other routers. */
final class OriginRecords {

  /** Time until the origin of a stream is dropped after the stream must have ended. */
  private static final long RETENTION_MARGIN_NANOS = 5_000_000_000L;

  private final RouterState state;
  private final StreamOrigins origins = new StreamOrigins();

  OriginRecords(RouterState state) {
    this.state = state;
  }

  /** Records the software version that began a stream, and sends a new record to other routers. */
  void record(StreamKey key, String softwareVersion, long nowNanos) {
    if (origins.record(key, softwareVersion, nowNanos)) {
      StreamBegan began = new StreamBegan(key, softwareVersion);
      OriginRouters.select(key, state.routers.values(), OriginRouters.HOLDERS)
          .forEach(router -> state.outbox.send(router, began));
    }
  }

  /** Records what another router has sent. */
  void onStreamBegan(StreamBegan began, long nowNanos) {
    origins.record(began.key(), began.softwareVersion(), nowNanos);
  }

  /** Returns the software version that began a stream; empty if it is not recorded here. */
  Optional<String> find(StreamKey key) {
    return origins.find(key);
  }

  /** Drops the records of streams that must have ended. */
  void expire(long longestLifetimeNanos, long nowNanos) {
    origins.expire(longestLifetimeNanos + RETENTION_MARGIN_NANOS, nowNanos);
  }
}
