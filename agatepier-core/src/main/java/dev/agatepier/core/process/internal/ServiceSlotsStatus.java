package dev.agatepier.core.process.internal;

import java.util.List;

/**
 * What a slot keeper tells operators about one service.
 *
 * @param service name of the service
 * @param waiting requests that wait
 * @param held requests that hold a slot
 * @param upstreams its upstreams
 */
public record ServiceSlotsStatus(
    String service, int waiting, int held, List<UpstreamStatus> upstreams) {

  /** Copies the upstreams. */
  public ServiceSlotsStatus {
    upstreams = List.copyOf(upstreams);
  }

  /**
   * One upstream.
   *
   * @param name its name
   * @param slots requests that it may run at one time
   * @param running requests that hold a slot
   * @param backlogMillis expected time until what was granted leaves room, in milliseconds
   * @param memoryTokens tokens that running requests take or are expected to take
   * @param failureShare share of recent requests that failed, from 0 to 1
   * @param usable whether slots of it are granted
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
