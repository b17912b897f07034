package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.Bytes;
import io.netty.buffer.ByteBuf;
import java.util.Arrays;

/**
 * The part of a body received so far, on the heap: the router keeps the complete body there anyway,
 * and direct memory is needed for sockets.
 */
final class BodyBuffer {

  /** Capacity that is reserved at once; a larger body grows with what is received. */
  private static final int FIRST_CAPACITY = 131_072;

  private final long declaredBytes;
  private final int maximumBytes;
  private byte[] content = Bytes.EMPTY.array();
  private int size;

  /**
   * Creates an empty body.
   *
   * @param declaredBytes length that the head states; 0 if it states none
   * @param maximumBytes length that a legal body does not exceed
   */
  BodyBuffer(long declaredBytes, int maximumBytes) {
    this.declaredBytes = declaredBytes;
    this.maximumBytes = maximumBytes;
  }

  long declaredBytes() {
    return declaredBytes;
  }

  /** Returns the bytes of memory that the body takes. */
  int capacity() {
    return content.length;
  }

  int size() {
    return size;
  }

  /** Appends all readable bytes. */
  void append(ByteBuf bytes) {
    int added = bytes.readableBytes();
    if (size + added > content.length) {
      content = Arrays.copyOf(content, capacityFor(size + added));
    }
    bytes.readBytes(content, size, added);
    size += added;
  }

  private int capacityFor(int needed) {
    int wanted = Math.max(needed, 2 * content.length);
    return declaredBytes < needed
        ? Math.max(needed, Math.min(maximumBytes, wanted))
        : (int) Math.min(declaredBytes, Math.max(wanted, FIRST_CAPACITY));
  }

  /** Returns the content, and keeps nothing. */
  Bytes take() {
    Bytes taken = new Bytes(size == content.length ? content : Arrays.copyOf(content, size));
    content = Bytes.EMPTY.array();
    size = 0;
    return taken;
  }
}
