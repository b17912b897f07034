package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage.CostChanges;
import dev.agatepier.core.connection.LinkMessage.CostReport;
import dev.agatepier.core.connection.LinkMessage.DataCentreCosts;
import dev.agatepier.core.connection.LinkMessage.FleetCosts;
import dev.agatepier.core.connection.LinkMessage.Suspicion;
import dev.agatepier.core.connection.LinkMessage.SuspicionReport;
import dev.agatepier.core.connection.LinkMessage.WorkspaceCost;
import java.util.List;

/** Messages that carry what the fleet knows about workspaces: costs and suspicions. */
public final class CostFamily implements MessageFamily {

  @Override
  public List<MessageType<?>> types() {
    return List.of(
        new MessageType<>(
            30,
            CostReport.class,
            2,
            (message, output) -> {
              output.list(message.costs(), CostFamily::writeCost);
              output.list(message.interested(), FieldOutput::text);
            },
            input ->
                new CostReport(input.list(CostFamily::readCost), input.list(FieldInput::text))),
        new MessageType<>(
            31,
            FleetCosts.class,
            2,
            (message, output) -> {
              output.number(message.aggregatorIncarnation());
              output.list(message.costs(), CostFamily::writeCost);
            },
            input -> new FleetCosts(input.number(), input.list(CostFamily::readCost))),
        new MessageType<>(
            32,
            DataCentreCosts.class,
            2,
            (message, output) -> {
              output.text(message.service());
              output.list(message.costs(), CostFamily::writeCost);
            },
            input -> new DataCentreCosts(input.text(), input.list(CostFamily::readCost))),
        new MessageType<>(
            33,
            SuspicionReport.class,
            1,
            (message, output) -> output.list(message.suspicions(), CostFamily::writeSuspicion),
            input -> new SuspicionReport(input.list(CostFamily::readSuspicion))),
        new MessageType<>(
            34,
            CostChanges.class,
            3,
            (message, output) -> {
              output.list(message.costs(), CostFamily::writeCost);
              output.list(message.added(), FieldOutput::text);
              output.list(message.removed(), FieldOutput::text);
            },
            input ->
                new CostChanges(
                    input.list(CostFamily::readCost),
                    input.list(FieldInput::text),
                    input.list(FieldInput::text))));
  }

  static void writeCost(FieldOutput output, WorkspaceCost cost) {
    output.text(cost.workspace());
    output.real(cost.cost());
  }

  static WorkspaceCost readCost(FieldInput input) {
    return new WorkspaceCost(input.text(), input.real());
  }

  private static void writeSuspicion(FieldOutput output, Suspicion suspicion) {
    RequestFields.writeFingerprint(suspicion.fingerprint(), output);
    output.text(suspicion.sidecar());
    output.number(suspicion.incarnation());
    output.number(suspicion.crashNumber());
    output.flag(suspicion.exclusive());
  }

  private static Suspicion readSuspicion(FieldInput input) {
    return new Suspicion(
        RequestFields.readFingerprint(input),
        input.text(),
        input.number(),
        input.number(),
        input.flag());
  }
}
