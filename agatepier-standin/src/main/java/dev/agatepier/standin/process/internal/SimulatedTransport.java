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

/**
 * Sends and receives the messages of one simulated process; they are encoded as on a link, and the
 * sent ones counted.
 */
final class SimulatedTransport {

  private static final int HEADER_BYTES = 4;

  private record Frame(PeerIdentity sender, byte[] content) {}

  private final PeerIdentity self;
  private final Map<String, SimulatedTransport> transports;
  private final MessagePackCodec codec = new MessagePackCodec();
  private final Deque<Frame> inbox = new ArrayDeque<>();
  private final Map<MessageClass, Long> sentBytes = new EnumMap<>(MessageClass.class);
  private long sentMessages;

  SimulatedTransport(PeerIdentity self, Map<String, SimulatedTransport> transports) {
    this.self = self;
    this.transports = transports;
    transports.put(self.instance(), this);
  }

  PeerIdentity self() {
    return self;
  }

  void send(String instance, LinkMessage message) {
    byte[] content = codec.encode(message);
    MessageClass messageClass = MessageClass.of(message);
    sentBytes.merge(messageClass, (long) content.length + HEADER_BYTES, Long::sum);
    sentMessages += messageClass.isControl() ? 1 : 0;
    transports.get(instance).inbox.add(new Frame(self, content));
  }

  /** Passes each message that was received before the call to a receiver. */
  void receive(BiConsumer<PeerIdentity, LinkMessage> receiver) {
    for (int count = inbox.size(); count > 0; count--) {
      Frame frame = inbox.remove();
      receiver.accept(frame.sender(), codec.decode(frame.content()));
    }
  }

  long sentBytes(MessageClass messageClass) {
    return sentBytes.getOrDefault(messageClass, 0L);
  }

  long sentMessages() {
    return sentMessages;
  }

  void resetCounts() {
    sentBytes.clear();
    sentMessages = 0;
  }
}
