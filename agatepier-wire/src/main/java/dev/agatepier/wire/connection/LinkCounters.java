package dev.agatepier.wire.connection;

import java.util.Map;

/**
 * What has crossed a link since it was opened.
 *
 * @param crossRegion whether the peer is in another region
 * @param sent traffic sent, by kind
 * @param received traffic received, by kind
 */
public record LinkCounters(
    boolean crossRegion, Map<MessageClass, Traffic> sent, Map<MessageClass, Traffic> received) {

  /** Copies the maps. */
  public LinkCounters {
    sent = Map.copyOf(sent);
    received = Map.copyOf(received);
  }

  /** Returns the bytes of control traffic, both ways. */
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
   * Traffic of one kind.
   *
   * @param messages messages
   * @param bytes bytes, frame headers included
   */
  public record Traffic(long messages, long bytes) {}
}
