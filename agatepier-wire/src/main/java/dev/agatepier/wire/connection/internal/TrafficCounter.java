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
    for (MessageClass messageClass : MessageClass.values()) {
      messages.put(messageClass, new LongAdder());
      bytes.put(messageClass, new LongAdder());
    }
  }

  void count(LinkMessage message, int contentBytes) {
    MessageClass messageClass = MessageClass.of(message);
    messages.get(messageClass).increment();
    bytes.get(messageClass).add(FrameDecoder.HEADER_BYTES + contentBytes);
  }

  Map<MessageClass, Traffic> traffic() {
    Map<MessageClass, Traffic> traffic = new EnumMap<>(MessageClass.class);
    messages.forEach(
        (messageClass, count) ->
            traffic.put(messageClass, new Traffic(count.sum(), bytes.get(messageClass).sum())));
    return traffic;
  }
}
