package dev.agatepier.wire.connection;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.wire.connection.internal.AttemptFamily;
import dev.agatepier.wire.connection.internal.CostFamily;
import dev.agatepier.wire.connection.internal.DemandFamily;
import dev.agatepier.wire.connection.internal.FieldInput;
import dev.agatepier.wire.connection.internal.FieldOutput;
import dev.agatepier.wire.connection.internal.HandshakeFamily;
import dev.agatepier.wire.connection.internal.InstancesFamily;
import dev.agatepier.wire.connection.internal.MessageFamily;
import dev.agatepier.wire.connection.internal.MessageType;
import dev.agatepier.wire.connection.internal.SlotFamily;
import dev.agatepier.wire.connection.internal.TableFamily;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessagePackException;

/** Each message as one MessagePack array: its type number, then its fields in order. */
public final class MessagePackCodec implements MessageCodec {

  private static final List<MessageFamily> FAMILIES =
      List.of(
          new HandshakeFamily(),
          new DemandFamily(),
          new AttemptFamily(),
          new CostFamily(),
          new TableFamily(),
          new InstancesFamily(),
          new SlotFamily());

  private final Map<Integer, MessageType<?>> byNumber = new HashMap<>();
  private final Map<Class<?>, MessageType<?>> byKind = new HashMap<>();

  /** Creates the codec of all message families. */
  public MessagePackCodec() {
    FAMILIES.stream().flatMap(family -> family.types().stream()).forEach(this::register);
  }

  private void register(MessageType<?> type) {
    if (byNumber.put(type.number(), type) != null || byKind.put(type.kind(), type) != null) {
      throw new IllegalStateException("message type " + type.number() + " stands twice");
    }
  }

  @Override
  public byte[] encode(LinkMessage message) {
    try (FieldOutput output = new FieldOutput()) {
      MessageType<?> type = byKind.get(message.getClass());
      type.write(message, output);
      return output.toByteArray();
    }
  }

  @Override
  public LinkMessage decode(byte[] content) {
    try (FieldInput input = new FieldInput(content)) {
      int length = input.arrayLength();
      int number = length == 0 ? -1 : input.integer();
      MessageType<?> type = byNumber.get(number);
      if (type == null) {
        throw new CodecException("message type " + number + " is unknown");
      }
      if (length != type.arity() + 1) {
        throw new CodecException(
            "message type " + number + " has " + (length - 1) + " fields, not " + type.arity());
      }
      LinkMessage message = type.reader().read(input);
      input.requireEnd();
      return message;
    } catch (MessagePackException | IllegalArgumentException | NullPointerException malformed) {
      throw new CodecException("message is malformed: " + malformed.getMessage(), malformed);
    }
  }
}
