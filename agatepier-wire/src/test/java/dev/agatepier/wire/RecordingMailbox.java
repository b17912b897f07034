package dev.agatepier.wire;

import static org.testng.Assert.assertNotNull;

import dev.agatepier.core.process.Mailbox;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Mailbox fake that records messages for a test, or rejects them while it is set to full. */
public final class RecordingMailbox<M> implements Mailbox<M> {

  private static final long TIMEOUT_SECONDS = 20;

  private final BlockingQueue<M> messages = new LinkedBlockingQueue<>();
  private volatile boolean full;

  @Override
  public boolean offer(M message) {
    return !full && messages.add(message);
  }

  public void setFull(boolean value) {
    full = value;
  }

  /** Returns the next message; fails if none is received within the timeout. */
  public <T extends M> T next(Class<T> type) {
    M message = poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(message, "no " + type.getSimpleName() + " received");
    return type.cast(message);
  }

  /** Returns the next message, or null if none is received in time. */
  public M poll(long time, TimeUnit unit) {
    try {
      return messages.poll(time, unit);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }
}
