package dev.agatepier.standin.connection.internal;

import dev.agatepier.core.process.Mailbox;
import dev.agatepier.standin.connection.Direction;
import io.netty.buffer.ByteBuf;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;

/** Reads a socket with backpressure: the connection's task requests each further buffer. */
final class SocketReader extends BaseSubscriber<ByteBuf> {

  /** Maximum number of buffers of one direction that are read but not yet written. */
  private static final int WINDOW_BUFFERS = 64;

  private final Direction direction;
  private final Mailbox<ProxyMessage> task;

  SocketReader(Direction direction, Mailbox<ProxyMessage> task) {
    this.direction = direction;
    this.task = task;
  }

  /** Requests one more buffer. */
  void requestNext() {
    request(1);
  }

  @Override
  protected void hookOnSubscribe(Subscription subscription) {
    request(WINDOW_BUFFERS);
  }

  @Override
  protected void hookOnNext(ByteBuf bytes) {
    if (!task.offer(new ProxyMessage.BytesReceived(direction, bytes))) {
      bytes.release();
    }
  }

  @Override
  protected void hookOnComplete() {
    task.offer(new ProxyMessage.InputClosed(direction));
  }

  @Override
  protected void hookOnError(Throwable failure) {
    task.offer(new ProxyMessage.InputClosed(direction));
  }
}
