package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.AttemptMessage.AttemptContent;
import dev.agatepier.core.connection.AttemptMessage.AttemptCredit;
import dev.agatepier.core.connection.AttemptMessage.AttemptEnd;
import dev.agatepier.core.connection.AttemptMessage.AttemptFailed;
import dev.agatepier.core.connection.AttemptMessage.AttemptHead;
import dev.agatepier.core.connection.AttemptMessage.AttemptNotRun;
import dev.agatepier.core.connection.AttemptMessage.StartAttempt;
import dev.agatepier.core.connection.AttemptMessage.WithdrawAttempt;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import java.util.List;

/** Encodes the messages about one attempt to run a request. */
public final class AttemptMessageCodec implements MessageTypeProvider {

  /** Number of fields of an encoded attempt id. */
  private static final int ATTEMPT_ID_FIELDS = 4;

  @Override
  public List<MessageType<?>> messageTypes() {
    return List.of(
        new MessageType<>(
            20,
            StartAttempt.class,
            18,
            AttemptMessageCodec::writeStart,
            AttemptMessageCodec::readStart),
        new MessageType<>(
            21,
            AttemptHead.class,
            ATTEMPT_ID_FIELDS + 2,
            (message, output) -> {
              RequestFields.writeAttempt(message.attempt(), output);
              output.writeInt(message.head().status());
              RequestFields.writeHeaders(message.head().headers(), output);
            },
            input ->
                new AttemptHead(
                    RequestFields.readAttempt(input),
                    new ResponseHead(input.readInt(), RequestFields.readHeaders(input)))),
        new MessageType<>(
            22,
            AttemptContent.class,
            ATTEMPT_ID_FIELDS + 2,
            (message, output) -> {
              RequestFields.writeAttempt(message.attempt(), output);
              output.writeInt(message.frameNumber());
              output.writeBytes(message.content());
            },
            input ->
                new AttemptContent(
                    RequestFields.readAttempt(input), input.readInt(), input.readBytes())),
        new MessageType<>(
            23,
            AttemptEnd.class,
            ATTEMPT_ID_FIELDS + 2,
            (message, output) -> {
              RequestFields.writeAttempt(message.attempt(), output);
              output.writeInt(message.frameCount());
              output.writeDouble(message.cost());
            },
            input ->
                new AttemptEnd(
                    RequestFields.readAttempt(input), input.readInt(), input.readDouble())),
        new MessageType<>(
            24,
            AttemptNotRun.class,
            ATTEMPT_ID_FIELDS + 1,
            (message, output) -> {
              RequestFields.writeAttempt(message.attempt(), output);
              output.writeString(message.reason().name());
            },
            input -> new AttemptNotRun(RequestFields.readAttempt(input), readReason(input))),
        new MessageType<>(
            25,
            AttemptFailed.class,
            ATTEMPT_ID_FIELDS + 1,
            (message, output) -> {
              RequestFields.writeAttempt(message.attempt(), output);
              output.writeString(message.reason().name());
            },
            input -> new AttemptFailed(RequestFields.readAttempt(input), readReason(input))),
        new MessageType<>(
            26,
            AttemptCredit.class,
            ATTEMPT_ID_FIELDS + 1,
            (message, output) -> {
              RequestFields.writeAttempt(message.attempt(), output);
              output.writeLong(message.bytes());
            },
            input -> new AttemptCredit(RequestFields.readAttempt(input), input.readLong())),
        new MessageType<>(
            27,
            WithdrawAttempt.class,
            ATTEMPT_ID_FIELDS,
            (message, output) -> RequestFields.writeAttempt(message.attempt(), output),
            input -> new WithdrawAttempt(RequestFields.readAttempt(input))));
  }

  private static Reason readReason(FieldInput input) {
    return Reason.valueOf(input.readString());
  }

  private static void writeStart(StartAttempt start, FieldOutput output) {
    output.writeLong(start.grantNumber());
    RequestFields.writeAttempt(start.attempt(), output);
    output.writeString(start.workspace());
    RequestFields.writeCall(start.head(), output);
    output.writeBytes(start.body());
    output.writeLong(start.timeLeftMillis());
    output.writeBoolean(start.idempotent());
    output.writeBoolean(start.exclusive());
    RequestFields.writeFingerprint(start.fingerprint(), output);
    RequestFields.writeTicket(start.ticket(), output);
    output.writeLong(start.windowBytes());
  }

  private static StartAttempt readStart(FieldInput input) {
    return new StartAttempt(
        input.readLong(),
        RequestFields.readAttempt(input),
        input.readString(),
        RequestFields.readCall(input),
        input.readBytes(),
        input.readLong(),
        input.readBoolean(),
        input.readBoolean(),
        RequestFields.readFingerprint(input),
        RequestFields.readTicket(input),
        input.readLong());
  }
}
