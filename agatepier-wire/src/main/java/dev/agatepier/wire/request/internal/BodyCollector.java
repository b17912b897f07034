package dev.agatepier.wire.request.internal;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.wire.request.CallRejectedException;
import dev.agatepier.wire.request.ReasonText;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.atomic.AtomicLong;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;

/** Reads the body of one request within its own size limit and the body budget of the process. */
public final class BodyCollector {

  private final BodyBudget budget;
  private final int maximumBytes;
  private final ByteArrayOutputStream content = new ByteArrayOutputStream();
  private final AtomicLong reservedBytes = new AtomicLong();
  private String workspace = "";
  private long receivedBytes;

  /**
   * Creates the collector of one request.
   *
   * @param budget body budget of the process
   * @param maximumBytes maximum bytes of this body
   */
  public BodyCollector(BodyBudget budget, int maximumBytes) {
    this.budget = budget;
    this.maximumBytes = maximumBytes;
  }

  /**
   * Reads the whole body for a workspace; fails with {@link CallRejectedException} if it exceeds a
   * bound.
   */
  public Mono<Bytes> collect(String workspace, ByteBufFlux body) {
    this.workspace = workspace;
    return body.doOnNext(this::append).then(Mono.fromSupplier(this::toBytes));
  }

  /**
   * Reads and discards the body of a rejected request, so that the caller can finish sending and
   * read the response.
   */
  public Mono<Void> discard(ByteBufFlux body) {
    return body.doOnNext(this::countBytes).then();
  }

  /** Releases the reserved bytes to the body budget; further calls have no effect. */
  public void release() {
    budget.release(workspace, reservedBytes.getAndSet(0));
  }

  private void append(ByteBuf chunk) {
    countBytes(chunk);
    if (!budget.tryReserve(workspace, chunk.readableBytes())) {
      throw new CallRejectedException(Reason.OVERLOADED, ReasonText.of(Reason.OVERLOADED));
    }
    reservedBytes.addAndGet(chunk.readableBytes());
    content.writeBytes(ByteBufUtil.getBytes(chunk));
  }

  private void countBytes(ByteBuf chunk) {
    receivedBytes += chunk.readableBytes();
    if (receivedBytes > maximumBytes) {
      throw new CallRejectedException(
          Reason.BODY_TOO_LARGE, "the body exceeds " + maximumBytes + " bytes");
    }
  }

  private Bytes toBytes() {
    return new Bytes(content.toByteArray());
  }
}
