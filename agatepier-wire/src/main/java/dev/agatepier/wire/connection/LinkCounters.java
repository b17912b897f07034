package dev.agatepier.wire.connection;

import java.util.Map;

/**
 * Snapshot of the traffic of a link since it was opened.
 *
 * @param crossRegion whether the peer is in another region
 * @param sent traffic sent, by message class
 * @param received traffic received, by message class
 */
public record LinkCounters(
    boolean crossRegion, Map<MessageClass, Traffic> sent, Map<MessageClass, Traffic> received) {

  /** Takes immutable copies of the maps. */
  public LinkCounters {
    sent = Map.copyOf(sent);
    received = Map.copyOf(received);
  }

  /** Returns the bytes of control traffic, sent and received. */
  public long controlBytes() {
    return controlBytes(sent) + controlBytes(received);
  }

  private static long controlBytes(Map<MessageClass, Traffic> traffic) {
    return traffic.entrySet().stream()
        .filter(entry -> entry.getKey().isControl())
        .mapToLong(entry -> entry.getValue().bytes())
        .sum();
  }

  /**
   * Traffic of one message class in one direction.
   *
   * @param messages number of messages
   * @param bytes number of bytes, including frame headers
   */
  public record Traffic(long messages, long bytes) {}
}
