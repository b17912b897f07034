package dev.agatepier.core.process;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Status of one service at its slot allocator, for the administration interface.
 *
 * @param service name of the service
 * @param waiting number of waiting requests
 * @param held number of requests that occupy a slot
 * @param upstreams upstreams of the service
 * @param room what is free at the usable upstreams that are not cold
 */
public record ServiceSlotsStatus(
    String service, int waiting, int held, List<UpstreamStatus> upstreams, Room room) {

  /** Makes an unmodifiable copy of the upstreams. */
  public ServiceSlotsStatus {
    upstreams = List.copyOf(upstreams);
  }

  /**
   * Status of one upstream.
   *
   * @param name name of the upstream
   * @param slots maximum number of requests that it may run at one time
   * @param running number of requests that occupy a slot
   * @param backlogMillis expected time to finish the work granted so far, in milliseconds
   * @param memoryTokens tokens in memory for running requests, including expected output
   * @param failureShare share of recent requests that failed, from 0 to 1
   * @param usable whether its slots may be granted
   * @param estimate estimate of its load; empty if it does not count
   */
  public record UpstreamStatus(
      String name,
      int slots,
      int running,
      double backlogMillis,
      long memoryTokens,
      double failureShare,
      boolean usable,
      Optional<EstimateStatus> estimate) {}

  /**
   * Estimate of the load of one upstream.
   *
   * @param otherRequests requests that other senders are expected to have there
   * @param pacePercent expected time of work relative to the usual one, in percent
   * @param statementAgeMillis time since it last stated its load, in milliseconds; empty if it has
   *     not
   * @param startErrorMillis moving average of the difference between the expected and the observed
   *     time from a grant to the start of the response, in milliseconds
   * @param startBiasMillis by how much responses start later than expected on average, in
   *     milliseconds; negative if earlier
   * @param outputTokenMillis moving average of the time for an output token, in milliseconds; 0 if
   *     unknown
   */
  public record EstimateStatus(
      double otherRequests,
      double pacePercent,
      OptionalLong statementAgeMillis,
      double startErrorMillis,
      double startBiasMillis,
      double outputTokenMillis) {}
}
