package dev.agatepier.wire;

import static org.testng.Assert.assertNotNull;

import dev.agatepier.core.process.Mailbox;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Keeps what is left in a mailbox until a test takes it. */
public final class RecordingMailbox<M> implements Mailbox<M> {

  private static final long PATIENCE_SECONDS = 20;

  private final BlockingQueue<M> messages = new LinkedBlockingQueue<>();
  private volatile boolean full;

  @Override
  public boolean offer(M message) {
    return !full && messages.add(message);
  }

  public void setFull(boolean value) {
    full = value;
  }

  /** Returns the next message, which must come. */
  public <T extends M> T next(Class<T> kind) {
    M message = poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    assertNotNull(message, "no " + kind.getSimpleName() + " came");
    return kind.cast(message);
  }

  /** Returns the next message, or null if none comes in time. */
  public M poll(long time, TimeUnit unit) {
    try {
      return messages.poll(time, unit);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }
}
