package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage.CostChanges;
import dev.agatepier.core.connection.LinkMessage.CostReport;
import dev.agatepier.core.connection.LinkMessage.DataCentreCosts;
import dev.agatepier.core.connection.LinkMessage.DirectCrashReport;
import dev.agatepier.core.connection.LinkMessage.FleetCosts;
import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.connection.LinkMessage.SuspicionReport;
import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import dev.agatepier.core.request.Fingerprint;
import java.util.List;

/** Encodes the messages about the costs of workspaces and about suspicious requests. */
public final class CostMessageCodec implements MessageTypeProvider {

  @Override
  public List<MessageType<?>> messageTypes() {
    return List.of(
        new MessageType<>(
            30,
            CostReport.class,
            2,
            (message, output) -> {
              output.writeList(message.costs(), CostMessageCodec::writeCost);
              output.writeList(message.interested(), FieldOutput::writeString);
            },
            input ->
                new CostReport(
                    input.readList(CostMessageCodec::readCost),
                    input.readList(FieldInput::readString))),
        new MessageType<>(
            31,
            FleetCosts.class,
            2,
            (message, output) -> {
              output.writeLong(message.aggregatorIncarnation());
              output.writeList(message.costs(), CostMessageCodec::writeCost);
            },
            input -> new FleetCosts(input.readLong(), input.readList(CostMessageCodec::readCost))),
        new MessageType<>(
            32,
            DataCentreCosts.class,
            2,
            (message, output) -> {
              output.writeString(message.service());
              output.writeList(message.costs(), CostMessageCodec::writeCost);
            },
            input ->
                new DataCentreCosts(
                    input.readString(), input.readList(CostMessageCodec::readCost))),
        new MessageType<>(
            33,
            SuspicionReport.class,
            1,
            (message, output) ->
                output.writeList(message.suspicions(), CostMessageCodec::writeSuspicion),
            input -> new SuspicionReport(input.readList(CostMessageCodec::readSuspicion))),
        new MessageType<>(
            35,
            DirectCrashReport.class,
            4,
            (message, output) -> {
              output.writeList(message.suspicions(), CostMessageCodec::writeSuspicion);
              output.writeList(message.late(), CostMessageCodec::writeSuspicion);
              output.writeList(message.cleared(), CostMessageCodec::writeFingerprint);
              output.writeList(message.tried(), CostMessageCodec::writeFingerprint);
            },
            input ->
                new DirectCrashReport(
                    input.readList(CostMessageCodec::readSuspicion),
                    input.readList(CostMessageCodec::readSuspicion),
                    input.readList(RequestFields::readFingerprint),
                    input.readList(RequestFields::readFingerprint))),
        new MessageType<>(
            34,
            CostChanges.class,
            3,
            (message, output) -> {
              output.writeList(message.costs(), CostMessageCodec::writeCost);
              output.writeList(message.added(), FieldOutput::writeString);
              output.writeList(message.removed(), FieldOutput::writeString);
            },
            input ->
                new CostChanges(
                    input.readList(CostMessageCodec::readCost),
                    input.readList(FieldInput::readString),
                    input.readList(FieldInput::readString))));
  }

  static void writeCost(FieldOutput output, WorkspaceCost cost) {
    output.writeString(cost.workspace());
    output.writeDouble(cost.cost());
  }

  static WorkspaceCost readCost(FieldInput input) {
    return new WorkspaceCost(input.readString(), input.readDouble());
  }

  private static void writeFingerprint(FieldOutput output, Fingerprint fingerprint) {
    RequestFields.writeFingerprint(fingerprint, output);
  }

  private static void writeSuspicion(FieldOutput output, Suspicion suspicion) {
    RequestFields.writeFingerprint(suspicion.fingerprint(), output);
    output.writeString(suspicion.sidecar());
    output.writeLong(suspicion.incarnation());
    output.writeLong(suspicion.crashNumber());
    output.writeBoolean(suspicion.exclusive());
  }

  private static Suspicion readSuspicion(FieldInput input) {
    return new Suspicion(
        RequestFields.readFingerprint(input),
        input.readString(),
        input.readLong(),
        input.readLong(),
        input.readBoolean());
  }
}
