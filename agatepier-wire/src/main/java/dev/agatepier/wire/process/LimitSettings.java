package dev.agatepier.wire.process;

import dev.agatepier.wire.connection.MemoryBudget;

/**
 * Limits on connections, on the size of requests and on what callers make a process hold.
 *
 * @param bodyBytes maximum bytes of a request body
 * @param headerBytes maximum bytes of a request head
 * @param connections maximum connections of callers at one time
 * @param memoryBytes maximum bytes held for callers and upstreams together; 0: two fifths of the
 *     heap, or three fifths of the direct memory if that is less
 * @param descriptors descriptors that the process may open; 0: what the system allows it
 * @param headerFields maximum fields of a request head
 * @param chunkOverheadBytes maximum bytes of a chunked body beyond nine times its content
 * @param pipelinedBytes bytes of pipelined requests that are read ahead of a response
 * @param progressMillis period over which the rate of a body or response is measured
 * @param progressBytes minimum rate of a body or response in such a period, in bytes a second
 * @param readinessConnections maximum connections of the readiness port at one time
 */
public record LimitSettings(
    int bodyBytes,
    int headerBytes,
    int connections,
    long memoryBytes,
    int descriptors,
    int headerFields,
    long chunkOverheadBytes,
    int pipelinedBytes,
    long progressMillis,
    long progressBytes,
    int readinessConnections) {

  /**
   * Default limits. A head of 16,384 bytes has at most 4,096 fields; the other limits are far from
   * what callers that keep to the published bounds do.
   */
  public static final LimitSettings DEFAULT =
      new LimitSettings(4_194_304, 16_384, 4_096, 0, 0, 4_096, 65_536, 16_384, 10_000, 1_024, 64);

  private static final int MINIMUM_HEADER_BYTES = 1_024;
  private static final int MINIMUM_HEADER_FIELDS = 64;

  /** Descriptors of files. */
  private static final int FILE_DESCRIPTORS = 200;

  /** Requires values in range. */
  public LimitSettings {
    check("bodyBytes", bodyBytes, 1);
    check("headerBytes", headerBytes, MINIMUM_HEADER_BYTES);
    check("connections", connections, 1);
    check("memoryBytes", memoryBytes, 0);
    check("descriptors", descriptors, 0);
    check("headerFields", headerFields, MINIMUM_HEADER_FIELDS);
    check("chunkOverheadBytes", chunkOverheadBytes, MINIMUM_HEADER_BYTES);
    check("pipelinedBytes", pipelinedBytes, MINIMUM_HEADER_BYTES);
    check("progressMillis", progressMillis, 1);
    check("progressBytes", progressBytes, 0);
    check("readinessConnections", readinessConnections, 1);
  }

  private static void check(String name, long value, long minimum) {
    if (value < minimum) {
      throw new IllegalArgumentException(name + " must be at least " + minimum + ": " + value);
    }
  }

  /** Returns the budget of memory of a process, in bytes. */
  public long memoryBudget(ProcessResources process) {
    return memoryBytes > 0
        ? memoryBytes
        : MemoryBudget.defaultBytes(process.heapBytes(), process.directBytes());
  }

  /**
   * Returns the descriptors that a process may open. The setting replaces the system's number also
   * where that is lower: on the users' platform the system's limit counts files only, not sockets.
   */
  public int descriptors(ProcessResources process) {
    return descriptors > 0 ? descriptors : process.descriptors();
  }

  /**
   * Returns the connections of callers that leave a quarter of the descriptors, beside those of
   * files, to upstreams, the store, peers and the readiness port.
   */
  public int callerConnections(ProcessResources process) {
    return Math.clamp((descriptors(process) - FILE_DESCRIPTORS) / 4L * 3, 1, connections);
  }
}
