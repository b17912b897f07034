package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.wire.connection.internal.AttemptMessageCodec;
import dev.agatepier.wire.connection.internal.CostMessageCodec;
import dev.agatepier.wire.connection.internal.DemandMessageCodec;
import dev.agatepier.wire.connection.internal.FieldInput;
import dev.agatepier.wire.connection.internal.FieldOutput;
import dev.agatepier.wire.connection.internal.HandshakeMessageCodec;
import dev.agatepier.wire.connection.internal.InstancesMessageCodec;
import dev.agatepier.wire.connection.internal.MessageType;
import dev.agatepier.wire.connection.internal.MessageTypeProvider;
import dev.agatepier.wire.connection.internal.SlotMessageCodec;
import dev.agatepier.wire.connection.internal.StreamMessageCodec;
import dev.agatepier.wire.connection.internal.TableMessageCodec;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePackException;

/** Encodes a message as a MessagePack array: the type number, then the fields in order. */
public final class MessagePackCodec implements MessageCodec {

  private static final List<MessageTypeProvider> PROVIDERS =
      List.of(
          new HandshakeMessageCodec(),
          new DemandMessageCodec(),
          new AttemptMessageCodec(),
          new CostMessageCodec(),
          new TableMessageCodec(),
          new InstancesMessageCodec(),
          new SlotMessageCodec(),
          new StreamMessageCodec());

  private final Map<Integer, MessageType<?>> byNumber = new HashMap<>();
  private final Map<Class<?>, MessageType<?>> byClass = new HashMap<>();

  /** Creates a codec with the message types of all providers registered. */
  public MessagePackCodec() {
    PROVIDERS.stream()
        .flatMap(provider -> provider.messageTypes().stream())
        .forEach(this::register);
  }

  private void register(MessageType<?> type) {
    if (byNumber.put(type.number(), type) != null
        || byClass.put(type.recordClass(), type) != null) {
      throw new IllegalStateException("message type " + type.number() + " is registered twice");
    }
  }

  @Override
  public byte[] encode(LinkMessage message) {
    try (FieldOutput output = new FieldOutput()) {
      MessageType<?> type = byClass.get(message.getClass());
      type.write(message, output);
      return output.toByteArray();
    }
  }

  @Override
  public LinkMessage decode(byte[] content) {
    try (FieldInput input = new FieldInput(content)) {
      int length = input.readArrayLength();
      int number = length == 0 ? -1 : input.readInt();
      MessageType<?> type = byNumber.get(number);
      if (type == null) {
        throw new CodecException("message type " + number + " is unknown");
      }
      if (length != type.fieldCount() + 1) {
        throw new CodecException(
            "message type "
                + number
                + " has "
                + (length - 1)
                + " fields, not "
                + type.fieldCount());
      }
      LinkMessage message = type.reader().read(input);
      input.requireEnd();
      return message;
    } catch (MessagePackException | IllegalArgumentException | NullPointerException malformed) {
      throw new CodecException("message is malformed: " + malformed.getMessage(), malformed);
    }
  }
}
