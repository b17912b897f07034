package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.connection.CodecException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BiConsumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes bounded fields as MessagePack. */
public final class FieldOutput implements AutoCloseable {

  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

  void integer(int value) {
    attempt(() -> packer.packInt(value));
  }

  void number(long value) {
    attempt(() -> packer.packLong(value));
  }

  void real(double value) {
    if (!Double.isFinite(value)) {
      throw new CodecException("number " + value + " is not finite");
    }
    attempt(() -> packer.packDouble(value));
  }

  void flag(boolean value) {
    attempt(() -> packer.packBoolean(value));
  }

  void text(String value) {
    byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
    FieldInput.requireBound("text", encoded.length, WireBounds.TEXT_BYTES);
    attempt(() -> packer.packRawStringHeader(encoded.length).writePayload(encoded));
  }

  void bytes(Bytes value) {
    FieldInput.requireBound("payload", value.size(), WireBounds.PAYLOAD_BYTES);
    attempt(() -> packer.packBinaryHeader(value.size()).writePayload(value.array()));
  }

  <T> void list(List<T> values, BiConsumer<FieldOutput, T> element) {
    arrayLength(values.size());
    values.forEach(value -> element.accept(this, value));
  }

  void arrayLength(int length) {
    FieldInput.requireBound("collection", length, WireBounds.ELEMENTS);
    attempt(() -> packer.packArrayHeader(length));
  }

  /** Returns everything written. */
  public byte[] toByteArray() {
    return packer.toByteArray();
  }

  @Override
  public void close() {
    attempt(packer::close);
  }

  private static void attempt(Step step) {
    try {
      step.run();
    } catch (IOException failure) {
      throw new CodecException("message cannot be encoded", failure);
    }
  }

  /** One step of the library, which declares errors of streams. */
  @FunctionalInterface
  private interface Step {
    void run() throws IOException;
  }
}
