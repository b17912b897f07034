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

/** Messages about one attempt to run a request. */
public final class AttemptFamily implements MessageFamily {

  /** Fields of an attempt's name. */
  private static final int NAME = 4;

  @Override
  public List<MessageType<?>> types() {
    return List.of(
        new MessageType<>(
            20, StartAttempt.class, 18, AttemptFamily::writeStart, AttemptFamily::readStart),
        new MessageType<>(
            21,
            AttemptHead.class,
            NAME + 2,
            (message, output) -> {
              RequestFields.writeAttempt(message.attempt(), output);
              output.integer(message.head().status());
              RequestFields.writeHeaders(message.head().headers(), output);
            },
            input ->
                new AttemptHead(
                    RequestFields.readAttempt(input),
                    new ResponseHead(input.integer(), RequestFields.readHeaders(input)))),
        new MessageType<>(
            22,
            AttemptContent.class,
            NAME + 2,
            (message, output) -> {
              RequestFields.writeAttempt(message.attempt(), output);
              output.integer(message.frameNumber());
              output.bytes(message.content());
            },
            input ->
                new AttemptContent(
                    RequestFields.readAttempt(input), input.integer(), input.bytes())),
        new MessageType<>(
            23,
            AttemptEnd.class,
            NAME + 2,
            (message, output) -> {
              RequestFields.writeAttempt(message.attempt(), output);
              output.integer(message.frameCount());
              output.real(message.cost());
            },
            input ->
                new AttemptEnd(RequestFields.readAttempt(input), input.integer(), input.real())),
        new MessageType<>(
            24,
            AttemptNotRun.class,
            NAME + 1,
            (message, output) -> {
              RequestFields.writeAttempt(message.attempt(), output);
              output.text(message.reason().name());
            },
            input -> new AttemptNotRun(RequestFields.readAttempt(input), readReason(input))),
        new MessageType<>(
            25,
            AttemptFailed.class,
            NAME + 1,
            (message, output) -> {
              RequestFields.writeAttempt(message.attempt(), output);
              output.text(message.reason().name());
            },
            input -> new AttemptFailed(RequestFields.readAttempt(input), readReason(input))),
        new MessageType<>(
            26,
            AttemptCredit.class,
            NAME + 1,
            (message, output) -> {
              RequestFields.writeAttempt(message.attempt(), output);
              output.number(message.bytes());
            },
            input -> new AttemptCredit(RequestFields.readAttempt(input), input.number())),
        new MessageType<>(
            27,
            WithdrawAttempt.class,
            NAME,
            (message, output) -> RequestFields.writeAttempt(message.attempt(), output),
            input -> new WithdrawAttempt(RequestFields.readAttempt(input))));
  }

  private static Reason readReason(FieldInput input) {
    return Reason.valueOf(input.text());
  }

  private static void writeStart(StartAttempt start, FieldOutput output) {
    output.number(start.grantNumber());
    RequestFields.writeAttempt(start.attempt(), output);
    output.text(start.workspace());
    RequestFields.writeCall(start.head(), output);
    output.bytes(start.body());
    output.number(start.timeLeftMillis());
    output.flag(start.idempotent());
    output.flag(start.exclusive());
    RequestFields.writeFingerprint(start.fingerprint(), output);
    RequestFields.writeTicket(start.ticket(), output);
    output.number(start.windowBytes());
  }

  private static StartAttempt readStart(FieldInput input) {
    return new StartAttempt(
        input.number(),
        RequestFields.readAttempt(input),
        input.text(),
        RequestFields.readCall(input),
        input.bytes(),
        input.number(),
        input.flag(),
        input.flag(),
        RequestFields.readFingerprint(input),
        RequestFields.readTicket(input),
        input.number());
  }
}
