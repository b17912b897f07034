package dev.agatepier.core.process;

/**
 * What is known of a request at its end, for logs and metrics.
 *
 * @param workspace workspace of the caller
 * @param service service called
 * @param attempts attempts sent to sidecars
 * @param lastSidecar instance name of the last sidecar tried; empty for none
 * @param waitNanos time until the last attempt was sent, in nanoseconds
 * @param firstByteNanos time until the answer began, in nanoseconds; 0 if it did not
 * @param totalNanos time from arrival to end, in nanoseconds
 * @param cost cost reported by the sidecar, in cost units of the service
 */
public record RequestMetadata(
    String workspace,
    String service,
    int attempts,
    String lastSidecar,
    long waitNanos,
    long firstByteNanos,
    long totalNanos,
    double cost) {}
