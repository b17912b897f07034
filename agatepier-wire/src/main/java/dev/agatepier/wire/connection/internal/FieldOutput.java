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

  void writeInt(int value) {
    attempt(() -> packer.packInt(value));
  }

  void writeLong(long value) {
    attempt(() -> packer.packLong(value));
  }

  void writeDouble(double value) {
    if (!Double.isFinite(value)) {
      throw new CodecException("number " + value + " is not finite");
    }
    attempt(() -> packer.packDouble(value));
  }

  void writeBoolean(boolean value) {
    attempt(() -> packer.packBoolean(value));
  }

  void writeString(String value) {
    byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
    FieldInput.requireAtMost("text", encoded.length, WireBounds.MAXIMUM_TEXT_BYTES);
    attempt(() -> packer.packRawStringHeader(encoded.length).writePayload(encoded));
  }

  void writeBytes(Bytes value) {
    FieldInput.requireAtMost("payload", value.size(), WireBounds.MAXIMUM_PAYLOAD_BYTES);
    attempt(() -> packer.packBinaryHeader(value.size()).writePayload(value.array()));
  }

  <T> void writeList(List<T> values, BiConsumer<FieldOutput, T> element) {
    writeArrayLength(values.size());
    values.forEach(value -> element.accept(this, value));
  }

  void writeArrayLength(int length) {
    FieldInput.requireAtMost("collection", length, WireBounds.MAXIMUM_ELEMENTS);
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
