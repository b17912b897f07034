package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.Fingerprint;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Counts running requests by fingerprint, and holds the parked suspects, which must run one at a
 * time.
 */
final class RunningFingerprints {

  private final Map<Fingerprint, Integer> running = new HashMap<>();
  private final Map<Fingerprint, Set<RoutedRequest>> parked = new HashMap<>();

  void addRunning(Fingerprint fingerprint) {
    running.merge(fingerprint, 1, Integer::sum);
  }

  void removeRunning(Fingerprint fingerprint) {
    running.computeIfPresent(fingerprint, (name, count) -> count == 1 ? null : count - 1);
  }

  boolean isRunning(Fingerprint fingerprint) {
    return running.containsKey(fingerprint);
  }

  void park(RoutedRequest request) {
    parked.computeIfAbsent(request.fingerprint(), name -> new LinkedHashSet<>()).add(request);
  }

  void unpark(RoutedRequest request) {
    Set<RoutedRequest> requests = parked.get(request.fingerprint());
    requests.remove(request);
    if (requests.isEmpty()) {
      parked.remove(request.fingerprint());
    }
  }

  /**
   * Returns the parked requests that may return to their queue: all, or the first unless one is
   * running.
   */
  List<RoutedRequest> releasable(Fingerprint fingerprint, boolean all) {
    Set<RoutedRequest> requests = parked.getOrDefault(fingerprint, Set.of());
    if (isRunning(fingerprint) && !all) {
      return List.of();
    }
    return requests.stream().limit(all ? requests.size() : 1).toList();
  }
}
