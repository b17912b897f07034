package dev.agatepier.core.process;

import java.util.List;

/**
 * What a router tells operators about itself.
 *
 * @param draining whether it takes no new request
 * @param sidecars sidecars it is linked to, by instance name
 * @param queues what waits and runs, one entry for each workspace and service in use
 */
public record RouterSnapshot(boolean draining, List<String> sidecars, List<QueueStatus> queues) {

  /** Copies the lists. */
  public RouterSnapshot {
    sidecars = List.copyOf(sidecars);
    queues = List.copyOf(queues);
  }

  /**
   * What one workspace has at one service through this router.
   *
   * @param workspace the workspace
   * @param service the service
   * @param waiting requests waiting
   * @param running requests running
   * @param oldestWaitMillis how long the oldest has waited, in milliseconds
   */
  public record QueueStatus(
      String workspace, String service, int waiting, int running, long oldestWaitMillis) {}
}
