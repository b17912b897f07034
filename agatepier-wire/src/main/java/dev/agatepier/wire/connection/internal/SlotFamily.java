package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.SlotMessage.AllocatorCosts;
import dev.agatepier.core.connection.SlotMessage.AllocatorLoad;
import dev.agatepier.core.connection.SlotMessage.HeldSlot;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotGranted;
import dev.agatepier.core.connection.SlotMessage.SlotRecalled;
import dev.agatepier.core.connection.SlotMessage.SlotRefused;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsChanged;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import java.util.List;
import java.util.Optional;

/** Messages between routers and the router that keeps the slots of a service's upstreams. */
public final class SlotFamily implements MessageFamily {

  private static final SlotStage[] STAGES = SlotStage.values();

  @Override
  public List<MessageType<?>> types() {
    return List.of(
        new MessageType<>(
            60,
            SlotsWanted.class,
            4,
            (message, output) -> {
              output.text(message.service());
              output.flag(message.complete());
              output.list(message.waiting(), SlotFamily::writeCall);
              output.list(message.held(), SlotFamily::writeHeld);
            },
            input ->
                new SlotsWanted(
                    input.text(),
                    input.flag(),
                    input.list(SlotFamily::readCall),
                    input.list(SlotFamily::readHeld))),
        new MessageType<>(
            61,
            SlotsChanged.class,
            2,
            (message, output) -> {
              output.text(message.service());
              output.list(message.changes(), SlotFamily::writeChange);
            },
            input -> new SlotsChanged(input.text(), input.list(SlotFamily::readChange))),
        new MessageType<>(
            62,
            SlotGranted.class,
            3,
            (message, output) -> {
              output.text(message.service());
              RequestFields.writeRequest(message.request(), output);
              output.text(message.upstream());
            },
            input -> new SlotGranted(input.text(), RequestFields.readRequest(input), input.text())),
        new MessageType<>(
            63,
            SlotRefused.class,
            3,
            (message, output) -> {
              output.text(message.service());
              RequestFields.writeRequest(message.request(), output);
              output.number(message.retryAfterMillis());
            },
            input ->
                new SlotRefused(input.text(), RequestFields.readRequest(input), input.number())),
        new MessageType<>(
            64,
            SlotRecalled.class,
            3,
            (message, output) -> {
              output.text(message.service());
              RequestFields.writeRequest(message.request(), output);
              output.text(message.upstream());
            },
            input ->
                new SlotRecalled(input.text(), RequestFields.readRequest(input), input.text())),
        new MessageType<>(
            65,
            AllocatorLoad.class,
            3,
            (message, output) -> {
              output.text(message.service());
              output.text(message.dataCentre());
              output.number(message.delayMillis());
            },
            input -> new AllocatorLoad(input.text(), input.text(), input.number())),
        new MessageType<>(
            66,
            AllocatorCosts.class,
            2,
            (message, output) -> {
              output.text(message.service());
              output.list(message.costs(), CostFamily::writeCost);
            },
            input -> new AllocatorCosts(input.text(), input.list(CostFamily::readCost))));
  }

  private static void writeCall(FieldOutput output, WaitingCall call) {
    RequestFields.writeRequest(call.request(), output);
    output.text(call.workspace());
    output.text(call.avoidedUpstream());
    output.number(call.objectiveMillis());
    output.number(call.timeLeftMillis());
    output.flag(call.repeatable());
    output.list(call.prompt().stream().toList(), SlotFamily::writePrompt);
  }

  private static WaitingCall readCall(FieldInput input) {
    return new WaitingCall(
        RequestFields.readRequest(input),
        input.text(),
        input.text(),
        input.number(),
        input.number(),
        input.flag(),
        readPrompt(input));
  }

  private static void writePrompt(FieldOutput output, PromptMetadata prompt) {
    output.text(prompt.model());
    output.integer(prompt.promptTokens());
    output.integer(prompt.outputTokens());
    output.list(
        prompt.parts(),
        (target, part) -> {
          target.text(part.identity());
          target.integer(part.tokens());
        });
  }

  private static Optional<PromptMetadata> readPrompt(FieldInput input) {
    List<PromptMetadata> prompts =
        input.list(
            source ->
                new PromptMetadata(
                    source.text(),
                    source.integer(),
                    source.integer(),
                    source.list(part -> new PromptPart(part.text(), part.integer()))));
    if (prompts.size() > 1) {
      throw new IllegalArgumentException("a call has at most one prompt");
    }
    return prompts.stream().findFirst();
  }

  private static void writeHeld(FieldOutput output, HeldSlot held) {
    writeCall(output, held.call());
    output.text(held.upstream());
    output.flag(held.responseStarted());
  }

  private static HeldSlot readHeld(FieldInput input) {
    return new HeldSlot(readCall(input), input.text(), input.flag());
  }

  private static void writeChange(FieldOutput output, SlotChange change) {
    RequestFields.writeRequest(change.request(), output);
    output.text(change.upstream());
    output.integer(change.stage().ordinal());
    output.number(change.amount());
  }

  private static SlotChange readChange(FieldInput input) {
    return new SlotChange(
        RequestFields.readRequest(input), input.text(), stage(input.integer()), input.number());
  }

  private static SlotStage stage(int ordinal) {
    if (ordinal < 0 || ordinal >= STAGES.length) {
      throw new IllegalArgumentException("slot stage " + ordinal + " is unknown");
    }
    return STAGES[ordinal];
  }
}
