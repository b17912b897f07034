package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.VersionMessage.ConfirmationRequest;
import dev.agatepier.core.connection.VersionMessage.ConfirmationTransfer;
import dev.agatepier.core.connection.VersionMessage.ManifestRequest;
import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.connection.VersionMessage.PageRequest;
import dev.agatepier.core.connection.VersionMessage.PageTransfer;
import java.util.List;

/** Encodes the messages that distribute table versions between peers. */
public final class TableMessageCodec implements MessageTypeProvider {

  @Override
  public List<MessageType<?>> messageTypes() {
    return List.of(
        new MessageType<>(
            40,
            ManifestTransfer.class,
            2,
            (message, output) -> {
              output.writeLong(message.version());
              output.writeList(message.pages(), TableMessageCodec::writeReference);
            },
            input ->
                new ManifestTransfer(
                    input.readLong(), input.readList(TableMessageCodec::readReference))),
        new MessageType<>(
            41,
            ManifestRequest.class,
            1,
            (message, output) -> output.writeLong(message.knownVersion()),
            input -> new ManifestRequest(input.readLong())),
        new MessageType<>(
            42,
            PageRequest.class,
            1,
            (message, output) -> output.writeString(message.digest()),
            input -> new PageRequest(input.readString())),
        new MessageType<>(
            43,
            PageTransfer.class,
            2,
            (message, output) -> {
              output.writeString(message.digest());
              output.writeBytes(message.content());
            },
            input -> new PageTransfer(input.readString(), input.readBytes())),
        new MessageType<>(
            44,
            ConfirmationRequest.class,
            1,
            (message, output) -> output.writeLong(message.number()),
            input -> new ConfirmationRequest(input.readLong())),
        new MessageType<>(
            45,
            ConfirmationTransfer.class,
            4,
            (message, output) -> {
              output.writeLong(message.number());
              output.writeLong(message.version());
              output.writeLong(message.evacuatedRevision());
              output.writeLong(message.ageMillis());
            },
            input ->
                new ConfirmationTransfer(
                    input.readLong(), input.readLong(), input.readLong(), input.readLong())));
  }

  private static void writeReference(FieldOutput output, PageReference page) {
    output.writeString(page.name());
    output.writeString(page.digest());
    output.writeInt(page.size());
  }

  private static PageReference readReference(FieldInput input) {
    return new PageReference(input.readString(), input.readString(), input.readInt());
  }
}
