package dev.agatepier.core.process;

/**
 * Metadata of a request, for logs and metrics.
 *
 * @param workspace workspace of the caller
 * @param service the called service
 * @param route name of the matched route; the name of the service if none was matched
 * @param size size of a model request, in prompt tokens; 0 for other requests
 * @param attempts number of attempts that were sent
 * @param lastSidecar instance name of the sidecar of the last attempt; empty if there was none
 * @param waitNanos time until the last attempt was sent, in nanoseconds; the time so far if none
 *     was
 * @param firstByteNanos time until the response started, in nanoseconds; 0 if it did not start
 * @param longestGapNanos longest time between two parts of the response, in nanoseconds; 0 if it
 *     has fewer than two
 * @param totalNanos time since the request arrived, in nanoseconds
 * @param cost cost reported by the sidecar, in cost units of the service
 */
public record RequestMetadata(
    String workspace,
    String service,
    String route,
    long size,
    int attempts,
    String lastSidecar,
    long waitNanos,
    long firstByteNanos,
    long longestGapNanos,
    long totalNanos,
    double cost) {

  /** Returns the metadata of a request that ended before it was queued. */
  public static RequestMetadata ofUnqueued(
      String workspace, String service, String route, long size) {
    return new RequestMetadata(workspace, service, route, size, 0, "", 0, 0, 0, 0, 0);
  }
}
