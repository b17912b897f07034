package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.connection.CodecException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Reads MessagePack fields and enforces the limits of {@link WireLimits}. */
public final class FieldInput implements AutoCloseable {

  private final MessageUnpacker unpacker;
  private final int size;

  /** Reads from a complete message. */
  public FieldInput(byte[] content) {
    unpacker = MessagePack.newDefaultUnpacker(content);
    size = content.length;
  }

  /** Reads a 32-bit integer; fails with {@link CodecException} if the value is out of range. */
  public int readInt() {
    return unchecked(unpacker::unpackInt);
  }

  long readLong() {
    return unchecked(unpacker::unpackLong);
  }

  double readDouble() {
    double value = unchecked(unpacker::unpackDouble);
    if (!Double.isFinite(value)) {
      throw new CodecException("number " + value + " is not finite");
    }
    return value;
  }

  boolean readBoolean() {
    return unchecked(unpacker::unpackBoolean);
  }

  String readString() {
    int length = unchecked(unpacker::unpackRawStringHeader);
    byte[] encoded = readPayload("text", length, WireLimits.MAXIMUM_TEXT_BYTES);
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(encoded)).toString();
    } catch (CharacterCodingException malformed) {
      throw new CodecException("text is not UTF-8", malformed);
    }
  }

  Bytes readBytes() {
    int length = unchecked(unpacker::unpackBinaryHeader);
    return new Bytes(readPayload("payload", length, WireLimits.MAXIMUM_PAYLOAD_BYTES));
  }

  <T> List<T> readList(Function<FieldInput, T> element) {
    int length = readArrayLength();
    List<T> values = new ArrayList<>(Math.min(length, size));
    for (int index = 0; index < length; index++) {
      values.add(element.apply(this));
    }
    return values;
  }

  /** Reads the header of an array and returns its number of elements. */
  public int readArrayLength() {
    int length = unchecked(unpacker::unpackArrayHeader);
    requireAtMost("collection", length, WireLimits.MAXIMUM_ELEMENTS);
    return length;
  }

  /** Fails with {@link CodecException} if bytes are left. */
  public void requireEnd() {
    if (unchecked(unpacker::hasNext)) {
      throw new CodecException("message has trailing bytes");
    }
  }

  @Override
  public void close() {
    unchecked(
        () -> {
          unpacker.close();
          return true;
        });
  }

  private byte[] readPayload(String field, int length, int bound) {
    requireAtMost(field, length, bound);
    if (length > size) {
      throw new CodecException(field + " of " + length + " is longer than its message");
    }
    return unchecked(() -> unpacker.readPayload(length));
  }

  static void requireAtMost(String field, int length, int bound) {
    if (length > bound) {
      throw new CodecException(field + " of " + length + " exceeds " + bound);
    }
  }

  private static <T> T unchecked(IoSupplier<T> read) {
    try {
      return read.get();
    } catch (IOException failure) {
      throw new CodecException("message cannot be decoded", failure);
    }
  }

  /** A read that declares {@link IOException}. */
  @FunctionalInterface
  private interface IoSupplier<T> {
    T get() throws IOException;
  }
}
