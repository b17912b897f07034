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

/** Reads bounded fields from MessagePack. */
public final class FieldInput implements AutoCloseable {

  private final MessageUnpacker unpacker;
  private final int size;

  /** Reads from a whole message. */
  public FieldInput(byte[] content) {
    unpacker = MessagePack.newDefaultUnpacker(content);
    size = content.length;
  }

  /** Reads a number that fits 32 bits. */
  public int readInt() {
    return attempt(unpacker::unpackInt);
  }

  long readLong() {
    return attempt(unpacker::unpackLong);
  }

  double readDouble() {
    double value = attempt(unpacker::unpackDouble);
    if (!Double.isFinite(value)) {
      throw new CodecException("number " + value + " is not finite");
    }
    return value;
  }

  boolean readBoolean() {
    return attempt(unpacker::unpackBoolean);
  }

  String readString() {
    int length = attempt(unpacker::unpackRawStringHeader);
    byte[] encoded = payload("text", length, WireBounds.MAXIMUM_TEXT_BYTES);
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(encoded)).toString();
    } catch (CharacterCodingException malformed) {
      throw new CodecException("text is not UTF-8", malformed);
    }
  }

  Bytes readBytes() {
    int length = attempt(unpacker::unpackBinaryHeader);
    return new Bytes(payload("payload", length, WireBounds.MAXIMUM_PAYLOAD_BYTES));
  }

  <T> List<T> readList(Function<FieldInput, T> element) {
    int length = readArrayLength();
    List<T> values = new ArrayList<>(Math.min(length, size));
    for (int index = 0; index < length; index++) {
      values.add(element.apply(this));
    }
    return values;
  }

  /** Reads the length of an array. */
  public int readArrayLength() {
    int length = attempt(unpacker::unpackArrayHeader);
    requireAtMost("collection", length, WireBounds.MAXIMUM_ELEMENTS);
    return length;
  }

  /** Fails if anything is left. */
  public void requireEnd() {
    if (attempt(unpacker::hasNext)) {
      throw new CodecException("message has trailing bytes");
    }
  }

  @Override
  public void close() {
    attempt(
        () -> {
          unpacker.close();
          return true;
        });
  }

  private byte[] payload(String what, int length, int bound) {
    requireAtMost(what, length, bound);
    if (length > size) {
      throw new CodecException(what + " of " + length + " is longer than its message");
    }
    return attempt(() -> unpacker.readPayload(length));
  }

  static void requireAtMost(String what, int length, int bound) {
    if (length > bound) {
      throw new CodecException(what + " of " + length + " exceeds " + bound);
    }
  }

  private static <T> T attempt(Step<T> step) {
    try {
      return step.run();
    } catch (IOException failure) {
      throw new CodecException("message cannot be decoded", failure);
    }
  }

  /** One step of the library, which declares errors of streams. */
  @FunctionalInterface
  private interface Step<T> {
    T run() throws IOException;
  }
}
