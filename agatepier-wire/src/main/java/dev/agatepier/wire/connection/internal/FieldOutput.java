package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.connection.CodecException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BiConsumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes MessagePack fields and enforces the limits of {@link WireLimits}. */
public final class FieldOutput implements AutoCloseable {

  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

  void writeInt(int value) {
    unchecked(() -> packer.packInt(value));
  }

  void writeLong(long value) {
    unchecked(() -> packer.packLong(value));
  }

  void writeDouble(double value) {
    if (!Double.isFinite(value)) {
      throw new CodecException("number " + value + " is not finite");
    }
    unchecked(() -> packer.packDouble(value));
  }

  void writeBoolean(boolean value) {
    unchecked(() -> packer.packBoolean(value));
  }

  void writeString(String value) {
    byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
    FieldInput.requireAtMost("text", encoded.length, WireLimits.MAXIMUM_TEXT_BYTES);
    unchecked(() -> packer.packRawStringHeader(encoded.length).writePayload(encoded));
  }

  void writeBytes(Bytes value) {
    FieldInput.requireAtMost("payload", value.size(), WireLimits.MAXIMUM_PAYLOAD_BYTES);
    unchecked(() -> packer.packBinaryHeader(value.size()).writePayload(value.array()));
  }

  <T> void writeList(List<T> values, BiConsumer<FieldOutput, T> element) {
    writeArrayLength(values.size());
    values.forEach(value -> element.accept(this, value));
  }

  void writeArrayLength(int length) {
    FieldInput.requireAtMost("collection", length, WireLimits.MAXIMUM_ELEMENTS);
    unchecked(() -> packer.packArrayHeader(length));
  }

  /** Returns the bytes written so far. */
  public byte[] toByteArray() {
    return packer.toByteArray();
  }

  @Override
  public void close() {
    unchecked(packer::close);
  }

  private static void unchecked(IoAction write) {
    try {
      write.run();
    } catch (IOException failure) {
      throw new CodecException("message cannot be encoded", failure);
    }
  }

  /** A write that declares {@link IOException}. */
  @FunctionalInterface
  private interface IoAction {
    void run() throws IOException;
  }
}
