package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.VersionMessage.ConfirmationRequest;
import dev.agatepier.core.connection.VersionMessage.ConfirmationTransfer;
import dev.agatepier.core.connection.VersionMessage.ManifestRequest;
import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.connection.VersionMessage.PageRequest;
import dev.agatepier.core.connection.VersionMessage.PageTransfer;
import java.util.List;

/** Messages that carry table versions from peer to peer. */
public final class TableFamily implements MessageFamily {

  @Override
  public List<MessageType<?>> types() {
    return List.of(
        new MessageType<>(
            40,
            ManifestTransfer.class,
            2,
            (message, output) -> {
              output.number(message.version());
              output.list(message.pages(), TableFamily::writeReference);
            },
            input -> new ManifestTransfer(input.number(), input.list(TableFamily::readReference))),
        new MessageType<>(
            41,
            ManifestRequest.class,
            1,
            (message, output) -> output.number(message.knownVersion()),
            input -> new ManifestRequest(input.number())),
        new MessageType<>(
            42,
            PageRequest.class,
            1,
            (message, output) -> output.text(message.digest()),
            input -> new PageRequest(input.text())),
        new MessageType<>(
            43,
            PageTransfer.class,
            2,
            (message, output) -> {
              output.text(message.digest());
              output.bytes(message.content());
            },
            input -> new PageTransfer(input.text(), input.bytes())),
        new MessageType<>(
            44,
            ConfirmationRequest.class,
            1,
            (message, output) -> output.number(message.number()),
            input -> new ConfirmationRequest(input.number())),
        new MessageType<>(
            45,
            ConfirmationTransfer.class,
            3,
            (message, output) -> {
              output.number(message.number());
              output.number(message.version());
              output.number(message.ageMillis());
            },
            input -> new ConfirmationTransfer(input.number(), input.number(), input.number())));
  }

  private static void writeReference(FieldOutput output, PageReference page) {
    output.text(page.name());
    output.text(page.digest());
    output.integer(page.size());
  }

  private static PageReference readReference(FieldInput input) {
    return new PageReference(input.text(), input.text(), input.integer());
  }
}
