package dev.agatepier.core.process.internal;

import java.util.List;

/**
 * Status of one service at its slot allocator, for the administration interface.
 *
 * @param service name of the service
 * @param waiting number of waiting requests
 * @param held number of requests that occupy a slot
 * @param upstreams upstreams of the service
 */
public record ServiceSlotsStatus(
    String service, int waiting, int held, List<UpstreamStatus> upstreams) {

  /** Makes an unmodifiable copy of the upstreams. */
  public ServiceSlotsStatus {
    upstreams = List.copyOf(upstreams);
  }

  /**
   * Status of one upstream.
   *
   * @param name name of the upstream
   * @param slots most requests that it may run at one time
   * @param running number of requests that occupy a slot
   * @param backlogMillis expected time to finish the work granted so far, in milliseconds
   * @param memoryTokens tokens in memory for running requests, including expected output
   * @param failureShare share of recent requests that failed, from 0 to 1
   * @param usable whether its slots may be granted
   */
  public record UpstreamStatus(
      String name,
      int slots,
      int running,
      double backlogMillis,
      long memoryTokens,
      double failureShare,
      boolean usable) {}
}
