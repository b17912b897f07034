package dev.agatepier.standin.process.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.wire.connection.MessageClass;
import dev.agatepier.wire.connection.MessagePackCodec;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.BiConsumer;

/** Where one decision's messages leave and arrive, encoded as on a link and counted. */
final class SimulatedTransport {

  private static final int HEADER_BYTES = 4;

  private record Frame(PeerIdentity sender, byte[] content) {}

  private final PeerIdentity self;
  private final Map<String, SimulatedTransport> ports;
  private final MessagePackCodec codec = new MessagePackCodec();
  private final Deque<Frame> arrived = new ArrayDeque<>();
  private final Map<MessageClass, Long> sentBytes = new EnumMap<>(MessageClass.class);
  private long sentMessages;

  SimulatedTransport(PeerIdentity self, Map<String, SimulatedTransport> ports) {
    this.self = self;
    this.ports = ports;
    ports.put(self.instance(), this);
  }

  PeerIdentity self() {
    return self;
  }

  void send(String instance, LinkMessage message) {
    byte[] content = codec.encode(message);
    MessageClass kind = MessageClass.of(message);
    sentBytes.merge(kind, (long) content.length + HEADER_BYTES, Long::sum);
    sentMessages += kind.isControl() ? 1 : 0;
    ports.get(instance).arrived.add(new Frame(self, content));
  }

  /** Hands over what had arrived before the call. */
  void receive(BiConsumer<PeerIdentity, LinkMessage> receiver) {
    for (int count = arrived.size(); count > 0; count--) {
      Frame frame = arrived.remove();
      receiver.accept(frame.sender(), codec.decode(frame.content()));
    }
  }

  long sentBytes(MessageClass kind) {
    return sentBytes.getOrDefault(kind, 0L);
  }

  long sentMessages() {
    return sentMessages;
  }

  void resetCounts() {
    sentBytes.clear();
    sentMessages = 0;
  }
}
