package dev.agatepier.core.process;

import java.util.List;

/**
 * State of a router, as operators see it.
 *
 * @param draining whether it is draining and accepts no new requests
 * @param sidecars instance names of the connected sidecars
 * @param queues waiting and running requests, one entry for each workspace and service in use
 */
public record RouterSnapshot(boolean draining, List<String> sidecars, List<QueueStatus> queues) {

  /** Copies the lists. */
  public RouterSnapshot {
    sidecars = List.copyOf(sidecars);
    queues = List.copyOf(queues);
  }

  /**
   * Requests of one workspace to one service that are handled by this router.
   *
   * @param workspace the workspace
   * @param service the service
   * @param waiting number of waiting requests
   * @param running number of running requests
   * @param oldestWaitMillis time for which the oldest request has waited, in milliseconds
   */
  public record QueueStatus(
      String workspace, String service, int waiting, int running, long oldestWaitMillis) {}
}
