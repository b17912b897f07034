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

/** Reads the body of one request, bounded in itself and by what the process may hold. */
public final class BodyCollector {

  private final BodyBudget budget;
  private final int maximumBytes;
  private final ByteArrayOutputStream content = new ByteArrayOutputStream();
  private final AtomicLong taken = new AtomicLong();
  private String workspace = "";
  private long seen;

  /** Creates the collector of one request. */
  public BodyCollector(BodyBudget budget, int maximumBytes) {
    this.budget = budget;
    this.maximumBytes = maximumBytes;
  }

  /**
   * Reads the whole body for a workspace; fails with {@link CallRejectedException} if it is too
   * large.
   */
  public Mono<Bytes> collect(String workspace, ByteBufFlux body) {
    this.workspace = workspace;
    return body.doOnNext(this::add).then(Mono.fromSupplier(this::finish));
  }

  /** Reads a body that nobody wants, so that the caller can read the refusal. */
  public Mono<Void> discard(ByteBufFlux body) {
    return body.doOnNext(this::count).then();
  }

  /** Gives the bytes back to the process's budget; further calls do nothing. */
  public void release() {
    budget.release(workspace, taken.getAndSet(0));
  }

  private void add(ByteBuf part) {
    count(part);
    if (!budget.tryReserve(workspace, part.readableBytes())) {
      throw new CallRejectedException(Reason.OVERLOADED, ReasonText.of(Reason.OVERLOADED));
    }
    taken.addAndGet(part.readableBytes());
    content.writeBytes(ByteBufUtil.getBytes(part));
  }

  private void count(ByteBuf part) {
    seen += part.readableBytes();
    if (seen > maximumBytes) {
      throw new CallRejectedException(
          Reason.BODY_TOO_LARGE, "the body exceeds " + maximumBytes + " bytes");
    }
  }

  private Bytes finish() {
    return new Bytes(content.toByteArray());
  }
}
