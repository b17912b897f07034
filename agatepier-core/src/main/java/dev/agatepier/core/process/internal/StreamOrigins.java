package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.StreamKey;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Bounded memory of the software versions that began streams, oldest first. */
public final class StreamOrigins {

  /** Maximum number of streams; about 6 MB. */
  static final int MAXIMUM_STREAMS = 32_768;

  private final Map<StreamKey, Origin> origins = new LinkedHashMap<>();

  private record Origin(String softwareVersion, long recordedNanos) {}

  /**
   * Records the software version that began a stream, unless one is recorded; that it is uncertain
   * replaces any. The oldest stream is dropped if there are too many.
   *
   * @return whether the record is new
   */
  public boolean record(StreamKey key, String softwareVersion, long nowNanos) {
    Origin known = origins.get(key);
    boolean replaced =
        softwareVersion.equals(RoutedRequest.UNCERTAIN_VERSION)
            && (known == null || !known.softwareVersion().equals(softwareVersion));
    if (known != null && !replaced) {
      return false;
    }
    origins.remove(key);
    origins.put(key, new Origin(softwareVersion, nowNanos));
    if (origins.size() > MAXIMUM_STREAMS) {
      Iterator<StreamKey> oldestFirst = origins.keySet().iterator();
      oldestFirst.next();
      oldestFirst.remove();
    }
    return true;
  }

  /** Returns the software version that began a stream; empty if it is not known. */
  public Optional<String> find(StreamKey key) {
    return Optional.ofNullable(origins.get(key)).map(Origin::softwareVersion);
  }

  /** Drops the streams that were recorded longer than a lifetime ago. */
  public void expire(long lifetimeNanos, long nowNanos) {
    Iterator<Origin> oldestFirst = origins.values().iterator();
    while (oldestFirst.hasNext() && nowNanos - oldestFirst.next().recordedNanos() > lifetimeNanos) {
      oldestFirst.remove();
    }
  }

  /** Returns the number of streams. */
  public int size() {
    return origins.size();
  }
}
