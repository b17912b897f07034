package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.StreamMessage.OriginReply;
import dev.agatepier.core.connection.StreamMessage.OriginRequest;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsReply;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsRequest;
import dev.agatepier.core.connection.StreamMessage.StreamBegan;
import dev.agatepier.core.request.StreamKey;
import java.util.List;

/** Encodes the messages between routers about the software versions that began streams. */
public final class StreamMessageCodec implements MessageTypeProvider {

  @Override
  public List<MessageType<?>> messageTypes() {
    return List.of(
        new MessageType<>(
            70,
            StreamBegan.class,
            3,
            (message, output) -> {
              writeKey(message.key(), output);
              output.writeString(message.softwareVersion());
            },
            input -> new StreamBegan(readKey(input), input.readString())),
        new MessageType<>(
            71,
            OriginRequest.class,
            5,
            (message, output) -> {
              output.writeLong(message.number());
              writeKey(message.key(), output);
              output.writeString(message.service());
              output.writeLong(message.lifetimeMillis());
            },
            input ->
                new OriginRequest(
                    input.readLong(), readKey(input), input.readString(), input.readLong())),
        new MessageType<>(
            72,
            OriginReply.class,
            5,
            (message, output) -> {
              output.writeLong(message.number());
              output.writeBoolean(message.known());
              output.writeString(message.softwareVersion());
              output.writeBoolean(message.complete());
              output.writeList(message.recentVersions(), FieldOutput::writeString);
            },
            input ->
                new OriginReply(
                    input.readLong(),
                    input.readBoolean(),
                    input.readString(),
                    input.readBoolean(),
                    input.readList(FieldInput::readString))),
        new MessageType<>(
            73,
            SoftwareVersionsRequest.class,
            3,
            (message, output) -> {
              output.writeLong(message.number());
              output.writeString(message.service());
              output.writeLong(message.lifetimeMillis());
            },
            input ->
                new SoftwareVersionsRequest(
                    input.readLong(), input.readString(), input.readLong())),
        new MessageType<>(
            74,
            SoftwareVersionsReply.class,
            3,
            (message, output) -> {
              output.writeLong(message.number());
              output.writeBoolean(message.complete());
              output.writeList(message.recentVersions(), FieldOutput::writeString);
            },
            input ->
                new SoftwareVersionsReply(
                    input.readLong(),
                    input.readBoolean(),
                    input.readList(FieldInput::readString))));
  }

  private static void writeKey(StreamKey key, FieldOutput output) {
    output.writeLong(key.high());
    output.writeLong(key.low());
  }

  private static StreamKey readKey(FieldInput input) {
    return new StreamKey(input.readLong(), input.readLong());
  }
}
