package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.SlotMessage.AllocatorCosts;
import dev.agatepier.core.connection.SlotMessage.AllocatorLoad;
import dev.agatepier.core.connection.SlotMessage.HeldSlot;
import dev.agatepier.core.connection.SlotMessage.MeasuredCapacity;
import dev.agatepier.core.connection.SlotMessage.ReceivedLoad;
import dev.agatepier.core.connection.SlotMessage.SlotChange;
import dev.agatepier.core.connection.SlotMessage.SlotGranted;
import dev.agatepier.core.connection.SlotMessage.SlotRecalled;
import dev.agatepier.core.connection.SlotMessage.SlotRefused;
import dev.agatepier.core.connection.SlotMessage.SlotStage;
import dev.agatepier.core.connection.SlotMessage.SlotsChanged;
import dev.agatepier.core.connection.SlotMessage.SlotsWanted;
import dev.agatepier.core.connection.SlotMessage.UpstreamUnavailable;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import dev.agatepier.core.request.UpstreamLoadReport;
import dev.agatepier.core.version.AllowedRegions;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;

/** Encodes the messages between routers and the slot allocator of a service. */
public final class SlotMessageCodec implements MessageTypeProvider {

  private static final SlotStage[] STAGES = SlotStage.values();

  /** Stands for a prompt whose caller gave no estimate of the length of the response. */
  private static final int NO_HINT = -1;

  @Override
  public List<MessageType<?>> messageTypes() {
    return List.of(
        new MessageType<>(
            60,
            SlotsWanted.class,
            5,
            (message, output) -> {
              output.writeString(message.service());
              output.writeBoolean(message.complete());
              output.writeList(message.waiting(), SlotMessageCodec::writeCall);
              output.writeList(message.held(), SlotMessageCodec::writeHeld);
              output.writeLong(message.tableVersion());
            },
            input ->
                new SlotsWanted(
                    input.readString(),
                    input.readBoolean(),
                    input.readList(SlotMessageCodec::readCall),
                    input.readList(SlotMessageCodec::readHeld),
                    input.readLong())),
        new MessageType<>(
            61,
            SlotsChanged.class,
            2,
            (message, output) -> {
              output.writeString(message.service());
              output.writeList(message.changes(), SlotMessageCodec::writeChange);
            },
            input ->
                new SlotsChanged(input.readString(), input.readList(SlotMessageCodec::readChange))),
        new MessageType<>(
            62,
            SlotGranted.class,
            7,
            (message, output) -> {
              output.writeString(message.service());
              RequestFields.writeRequest(message.request(), output);
              output.writeString(message.upstream());
              output.writeBoolean(message.cold());
              output.writeLong(message.waitedMillis());
              output.writeLong(message.timeLeftMillis());
              output.writeString(message.softwareVersion());
            },
            input ->
                new SlotGranted(
                    input.readString(),
                    RequestFields.readRequest(input),
                    input.readString(),
                    input.readBoolean(),
                    input.readLong(),
                    input.readLong(),
                    input.readString())),
        new MessageType<>(
            63,
            SlotRefused.class,
            4,
            (message, output) -> {
              output.writeString(message.service());
              RequestFields.writeRequest(message.request(), output);
              output.writeLong(message.retryAfterMillis());
              output.writeString(message.alternative());
            },
            input ->
                new SlotRefused(
                    input.readString(),
                    RequestFields.readRequest(input),
                    input.readLong(),
                    input.readString())),
        new MessageType<>(
            64,
            SlotRecalled.class,
            3,
            (message, output) -> {
              output.writeString(message.service());
              RequestFields.writeRequest(message.request(), output);
              output.writeString(message.upstream());
            },
            input ->
                new SlotRecalled(
                    input.readString(), RequestFields.readRequest(input), input.readString())),
        new MessageType<>(
            65,
            AllocatorLoad.class,
            4,
            (message, output) -> {
              output.writeString(message.service());
              output.writeString(message.dataCentre());
              output.writeLong(message.delayMillis());
              output.writeList(
                  message.capacity().stream().toList(), SlotMessageCodec::writeCapacity);
            },
            input ->
                new AllocatorLoad(
                    input.readString(),
                    input.readString(),
                    input.readLong(),
                    readAtMostOne(input, "capacity", SlotMessageCodec::readCapacity))),
        new MessageType<>(
            67,
            UpstreamUnavailable.class,
            5,
            (message, output) -> {
              output.writeString(message.service());
              output.writeString(message.upstream());
              output.writeLong(message.incarnation());
              output.writeBoolean(message.leaving());
              output.writeLong(message.pauseMillis());
            },
            input ->
                new UpstreamUnavailable(
                    input.readString(),
                    input.readString(),
                    input.readLong(),
                    input.readBoolean(),
                    input.readLong())),
        new MessageType<>(
            66,
            AllocatorCosts.class,
            3,
            (message, output) -> {
              output.writeString(message.service());
              output.writeDouble(message.servedBelow());
              output.writeList(message.costs(), CostMessageCodec::writeCost);
            },
            input ->
                new AllocatorCosts(
                    input.readString(),
                    input.readDouble(),
                    input.readList(CostMessageCodec::readCost))));
  }

  private static void writeCall(FieldOutput output, WaitingCall call) {
    RequestFields.writeRequest(call.request(), output);
    output.writeString(call.workspace());
    output.writeString(call.avoidedUpstream());
    output.writeLong(call.objectiveMillis());
    output.writeLong(call.timeLeftMillis());
    output.writeBoolean(call.repeatable());
    output.writeBoolean(call.underserved());
    output.writeLong(call.callerAgeMillis());
    output.writeList(call.prompt().stream().toList(), SlotMessageCodec::writePrompt);
    output.writeString(call.route());
    writeRegions(output, call.allowedRegions());
    output.writeString(call.softwareVersion());
  }

  private static WaitingCall readCall(FieldInput input) {
    return new WaitingCall(
        RequestFields.readRequest(input),
        input.readString(),
        input.readString(),
        input.readLong(),
        input.readLong(),
        input.readBoolean(),
        input.readBoolean(),
        input.readLong(),
        readPrompt(input),
        input.readString(),
        readRegions(input),
        input.readString());
  }

  private static void writeRegions(FieldOutput output, AllowedRegions regions) {
    output.writeBoolean(regions.all());
    if (!regions.all()) {
      output.writeList(regions.names().stream().sorted().toList(), FieldOutput::writeString);
    }
  }

  private static AllowedRegions readRegions(FieldInput input) {
    return input.readBoolean()
        ? AllowedRegions.ALL
        : AllowedRegions.only(new HashSet<>(input.readList(FieldInput::readString)));
  }

  private static void writePrompt(FieldOutput output, PromptMetadata prompt) {
    output.writeString(prompt.model());
    output.writeInt(prompt.promptTokens());
    output.writeInt(prompt.outputTokens());
    output.writeInt(prompt.maximumOutputTokens());
    output.writeInt(prompt.lengthHint().orElse(NO_HINT));
    output.writeList(
        prompt.parts(),
        (target, part) -> {
          target.writeString(part.identity());
          target.writeInt(part.tokens());
        });
  }

  private static Optional<PromptMetadata> readPrompt(FieldInput input) {
    return readAtMostOne(
        input,
        "prompt",
        source ->
            new PromptMetadata(
                source.readString(),
                source.readInt(),
                source.readInt(),
                source.readInt(),
                readHint(source),
                source.readList(part -> new PromptPart(part.readString(), part.readInt()))));
  }

  private static OptionalInt readHint(FieldInput input) {
    int hint = input.readInt();
    return hint == NO_HINT ? OptionalInt.empty() : OptionalInt.of(hint);
  }

  private static <T> Optional<T> readAtMostOne(
      FieldInput input, String field, Function<FieldInput, T> element) {
    List<T> values = input.readList(element);
    if (values.size() > 1) {
      throw new IllegalArgumentException(
          "field " + field + " holds " + values.size() + " elements, more than 1");
    }
    return values.stream().findFirst();
  }

  private static void writeHeld(FieldOutput output, HeldSlot held) {
    writeCall(output, held.call());
    output.writeString(held.upstream());
    output.writeBoolean(held.responseStarted());
  }

  private static HeldSlot readHeld(FieldInput input) {
    return new HeldSlot(readCall(input), input.readString(), input.readBoolean());
  }

  private static void writeChange(FieldOutput output, SlotChange change) {
    RequestFields.writeRequest(change.request(), output);
    output.writeString(change.upstream());
    output.writeInt(change.stage().ordinal());
    output.writeLong(change.amount());
    output.writeLong(change.longestGapMillis());
    output.writeList(change.load().stream().toList(), SlotMessageCodec::writeLoad);
  }

  /** Writes a load; a pace of 0 stands for none. */
  private static void writeLoad(FieldOutput output, ReceivedLoad load) {
    output.writeInt(load.report().running());
    output.writeInt(load.report().waiting());
    output.writeInt(load.report().slots());
    output.writeInt(load.report().pacePercent().orElse(0));
    output.writeLong(load.ageMillis());
  }

  private static ReceivedLoad readLoad(FieldInput input) {
    int running = input.readInt();
    int waiting = input.readInt();
    int slots = input.readInt();
    int pacePercent = input.readInt();
    OptionalInt pace = pacePercent == 0 ? OptionalInt.empty() : OptionalInt.of(pacePercent);
    return new ReceivedLoad(
        new UpstreamLoadReport(running, waiting, slots, pace), Math.max(0, input.readLong()));
  }

  private static SlotChange readChange(FieldInput input) {
    return new SlotChange(
        RequestFields.readRequest(input),
        input.readString(),
        toStage(input.readInt()),
        input.readLong(),
        input.readLong(),
        readAtMostOne(input, "load", SlotMessageCodec::readLoad));
  }

  private static void writeCapacity(FieldOutput output, MeasuredCapacity capacity) {
    output.writeDouble(capacity.parallelRequests());
    output.writeDouble(capacity.requestMillis());
    output.writeDouble(capacity.tokenMillis());
  }

  private static MeasuredCapacity readCapacity(FieldInput input) {
    return new MeasuredCapacity(input.readDouble(), input.readDouble(), input.readDouble());
  }

  private static SlotStage toStage(int ordinal) {
    if (ordinal < 0 || ordinal >= STAGES.length) {
      throw new IllegalArgumentException("field stage has the unknown ordinal " + ordinal);
    }
    return STAGES[ordinal];
  }
}
