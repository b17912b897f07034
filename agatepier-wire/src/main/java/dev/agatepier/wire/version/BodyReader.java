package dev.agatepier.wire.version;

import dev.agatepier.core.request.Bytes;
import java.io.ByteArrayOutputStream;
import java.util.function.IntConsumer;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;

/** Reads a response body of bounded size. */
public final class BodyReader {

  private BodyReader() {}

  /** Reads the whole body; fails with {@link PlatformException} once it exceeds the bound. */
  public static Mono<Bytes> read(ByteBufFlux content, int maximumBytes) {
    return read(content, maximumBytes, count -> {});
  }

  /**
   * Reads the whole body; fails with {@link PlatformException} once it exceeds the bound.
   *
   * @param counter receives the number of bytes of each piece, also of a body that is too large
   */
  public static Mono<Bytes> read(ByteBufFlux content, int maximumBytes, IntConsumer counter) {
    return content
        .asByteArray()
        .doOnNext(chunk -> counter.accept(chunk.length))
        .collect(
            ByteArrayOutputStream::new,
            (collected, chunk) -> append(collected, chunk, maximumBytes))
        .map(collected -> new Bytes(collected.toByteArray()));
  }

  private static void append(ByteArrayOutputStream collected, byte[] chunk, int maximumBytes) {
    if (collected.size() + chunk.length > maximumBytes) {
      throw new PlatformException("the response body exceeds " + maximumBytes + " bytes");
    }
    collected.writeBytes(chunk);
  }
}
