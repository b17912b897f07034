package dev.agatepier.core.version;

import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Which software versions the upstreams of each service had before a process received its first
 * instance list.
 *
 * @param versionsByService software versions of all upstreams of each service that were registered
 *     at any time within the reach; a service without upstreams is absent
 * @param reachMillis how far the history reaches back from the first instance list, in
 *     milliseconds; {@link #UNLIMITED_MILLIS} if no upstream was registered before it begins
 */
public record SoftwareVersionHistory(Map<String, Set<String>> versionsByService, long reachMillis) {

  /** Reach of a history that begins before the first registration of an upstream. */
  public static final long UNLIMITED_MILLIS = Long.MAX_VALUE;

  /** The history of a process that knows nothing from before its first instance list. */
  public static final SoftwareVersionHistory NONE = new SoftwareVersionHistory(Map.of(), 0);

  /** Copies the versions. */
  public SoftwareVersionHistory {
    versionsByService =
        versionsByService.entrySet().stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    Map.Entry::getKey, entry -> Set.copyOf(entry.getValue())));
    if (reachMillis < 0) {
      throw new IllegalArgumentException("reachMillis must not be negative: " + reachMillis);
    }
  }
}
