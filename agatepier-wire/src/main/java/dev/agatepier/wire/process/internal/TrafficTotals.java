package dev.agatepier.wire.process.internal;

import dev.agatepier.wire.connection.LinkCounters;
import dev.agatepier.wire.connection.MessageClass;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/** Byte totals by direction, message class and distance, such as {@code sent.demand.within}. */
final class TrafficTotals {

  private final SortedMap<String, Long> bytes = new TreeMap<>();

  synchronized void add(LinkCounters counters) {
    String distance = counters.crossRegion() ? "across" : "within";
    addTraffic("sent", distance, counters.sent());
    addTraffic("received", distance, counters.received());
  }

  void add(TrafficTotals other) {
    SortedMap<String, Long> added = other.bytes();
    synchronized (this) {
      added.forEach((name, value) -> bytes.merge(name, value, Long::sum));
    }
  }

  synchronized SortedMap<String, Long> bytes() {
    return new TreeMap<>(bytes);
  }

  private void addTraffic(
      String direction, String distance, Map<MessageClass, LinkCounters.Traffic> traffic) {
    traffic.forEach(
        (messageClass, amount) ->
            bytes.merge(
                direction + "." + messageClass.name().toLowerCase(Locale.ROOT) + "." + distance,
                amount.bytes(),
                Long::sum));
  }
}
