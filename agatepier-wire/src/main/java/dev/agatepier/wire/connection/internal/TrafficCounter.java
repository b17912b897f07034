package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.wire.connection.LinkCounters.Traffic;
import dev.agatepier.wire.connection.MessageClass;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts messages and bytes of one direction by message class. */
final class TrafficCounter {

  private final Map<MessageClass, LongAdder> messages = new EnumMap<>(MessageClass.class);
  private final Map<MessageClass, LongAdder> bytes = new EnumMap<>(MessageClass.class);

  TrafficCounter() {
    for (MessageClass kind : MessageClass.values()) {
      messages.put(kind, new LongAdder());
      bytes.put(kind, new LongAdder());
    }
  }

  void count(LinkMessage message, int contentBytes) {
    MessageClass kind = MessageClass.of(message);
    messages.get(kind).increment();
    bytes.get(kind).add(FrameDecoder.HEADER_BYTES + contentBytes);
  }

  Map<MessageClass, Traffic> traffic() {
    Map<MessageClass, Traffic> traffic = new EnumMap<>(MessageClass.class);
    messages.forEach(
        (kind, count) -> traffic.put(kind, new Traffic(count.sum(), bytes.get(kind).sum())));
    return traffic;
  }
}
