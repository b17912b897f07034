package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage.DemandUpdate;
import dev.agatepier.core.connection.LinkMessage.FreeSlots;
import dev.agatepier.core.connection.LinkMessage.Grant;
import dev.agatepier.core.connection.LinkMessage.GrantDeclined;
import dev.agatepier.core.connection.LinkMessage.WorkspaceDemand;
import java.util.List;

/** Messages by which work and slots find each other. */
public final class DemandFamily implements MessageFamily {

  @Override
  public List<MessageType<?>> types() {
    return List.of(
        new MessageType<>(
            10,
            DemandUpdate.class,
            1,
            (message, output) -> output.list(message.changes(), DemandFamily::writeDemand),
            input -> new DemandUpdate(input.list(DemandFamily::readDemand))),
        new MessageType<>(
            11,
            FreeSlots.class,
            1,
            (message, output) -> output.integer(message.freeSlots()),
            input -> new FreeSlots(input.integer())),
        new MessageType<>(
            12,
            Grant.class,
            2,
            (message, output) -> {
              output.number(message.grantNumber());
              output.text(message.workspace());
            },
            input -> new Grant(input.number(), input.text())),
        new MessageType<>(
            13,
            GrantDeclined.class,
            1,
            (message, output) -> output.number(message.grantNumber()),
            input -> new GrantDeclined(input.number())));
  }

  private static void writeDemand(FieldOutput output, WorkspaceDemand demand) {
    output.text(demand.workspace());
    output.integer(demand.waiting());
    output.number(demand.oldestWaitMillis());
    output.real(demand.estimatedCost());
  }

  private static WorkspaceDemand readDemand(FieldInput input) {
    return new WorkspaceDemand(input.text(), input.integer(), input.number(), input.real());
  }
}
