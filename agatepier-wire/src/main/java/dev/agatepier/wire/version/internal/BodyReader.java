package dev.agatepier.wire.version.internal;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.version.PlatformException;
import java.io.ByteArrayOutputStream;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;

/** Collects a body that is bounded in size. */
public final class BodyReader {

  private BodyReader() {}

  /** Reads the whole body, or fails once it is longer than the bound. */
  public static Mono<Bytes> read(ByteBufFlux content, int maximumBytes) {
    return content
        .asByteArray()
        .collect(
            ByteArrayOutputStream::new, (collected, part) -> append(collected, part, maximumBytes))
        .map(collected -> new Bytes(collected.toByteArray()));
  }

  private static void append(ByteArrayOutputStream collected, byte[] part, int maximumBytes) {
    if (collected.size() + part.length > maximumBytes) {
      throw new PlatformException("a body is longer than " + maximumBytes + " bytes");
    }
    collected.writeBytes(part);
  }
}
