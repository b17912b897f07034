package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage.DemandUpdate;
import dev.agatepier.core.connection.LinkMessage.FreeSlots;
import dev.agatepier.core.connection.LinkMessage.Grant;
import dev.agatepier.core.connection.LinkMessage.GrantDeclined;
import dev.agatepier.core.connection.LinkMessage.WorkspaceDemand;
import java.util.List;

/** Encodes the messages that match demand with free slots. */
public final class DemandMessageCodec implements MessageTypeProvider {

  @Override
  public List<MessageType<?>> messageTypes() {
    return List.of(
        new MessageType<>(
            10,
            DemandUpdate.class,
            1,
            (message, output) ->
                output.writeList(message.changes(), DemandMessageCodec::writeDemand),
            input -> new DemandUpdate(input.readList(DemandMessageCodec::readDemand))),
        new MessageType<>(
            11,
            FreeSlots.class,
            1,
            (message, output) -> output.writeInt(message.freeSlots()),
            input -> new FreeSlots(input.readInt())),
        new MessageType<>(
            12,
            Grant.class,
            2,
            (message, output) -> {
              output.writeLong(message.grantNumber());
              output.writeString(message.workspace());
            },
            input -> new Grant(input.readLong(), input.readString())),
        new MessageType<>(
            13,
            GrantDeclined.class,
            1,
            (message, output) -> output.writeLong(message.grantNumber()),
            input -> new GrantDeclined(input.readLong())));
  }

  private static void writeDemand(FieldOutput output, WorkspaceDemand demand) {
    output.writeString(demand.workspace());
    output.writeInt(demand.waiting());
    output.writeLong(demand.oldestWaitMillis());
    output.writeDouble(demand.estimatedCost());
  }

  private static WorkspaceDemand readDemand(FieldInput input) {
    return new WorkspaceDemand(
        input.readString(), input.readInt(), input.readLong(), input.readDouble());
  }
}
