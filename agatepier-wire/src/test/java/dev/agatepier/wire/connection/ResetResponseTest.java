package dev.agatepier.wire.connection;

import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent.UpstreamFailed;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.RawSocket;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses without length on connections that are reset, which must not count as complete. */
public class ResetResponseTest extends UpstreamCallerFixture {

  private static final String WITHOUT_LENGTH = HEAD + "\r\nseats";
  private static final String EVENTS_WITHOUT_LENGTH = HEAD + "Content-Type: events\r\n\r\n";

  /** Larger than the buffers of both sockets. */
  private static final int LONG_BODY_BYTES = 16_000_000;

  private static final int ROUNDS = 20;

  @DataProvider
  public Object[][] resets() {
    return new Object[][] {
      {LONG_BODY_BYTES, 0},
      {LONG_BODY_BYTES, 300},
      {LONG_BODY_BYTES, 3_000},
      {LONG_BODY_BYTES, 20_000},
      {100, 0},
      {100, 300},
      {100, 3_000},
    };
  }

  /** Guards against a reset that is first seen by the write of a request body. */
  @Test(dataProvider = "resets")
  public void resetWhileRequestIsWrittenIsNoEndOfResponse(int bodyBytes, long delayMicros) {
    for (int round = 1; round <= ROUNDS; round++) {
      perform(attempt(round, new Bytes(new byte[bodyBytes])));
      try (RawSocket socket = upstream.accept()) {
        socket.readUntil("\r\n\r\n");
        socket.write(WITHOUT_LENGTH.formatted(round));
        LockSupport.parkNanos(1_000 * delayMicros);
        socket.reset();
      }
      assertTrue(awaitEnd() instanceof UpstreamFailed, "round " + round);
    }
  }

  /** Guards against a part of a response that ends cleanly before its request was read. */
  @Test
  public void endOfConnectionWhileRequestIsWrittenIsNoEndOfResponse() {
    perform(attempt(1, new Bytes(new byte[LONG_BODY_BYTES])));
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("\r\n\r\n");
      socket.write(WITHOUT_LENGTH.formatted(1));
      socket.shutDownOutput();
      assertTrue(awaitEnd() instanceof UpstreamFailed);
    }
  }

  /** Guards against a reset that is read only after flow control has held reading back. */
  @Test
  public void resetBehindUnreadEventsIsNoEndOfResponse() {
    AttemptId attempt = run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(EVENTS_WITHOUT_LENGTH.formatted(1));
      for (int number = 1; number <= 1_000; number++) {
        socket.write("id: " + number + "\ndata: abcd\n\n");
      }
      socket.reset();
    }
    LockSupport.parkNanos(50_000_000);
    scheduler.schedule(() -> caller.perform(new RouterEffect.ReadAttempt(attempt, 1_000_000)));
    assertTrue(awaitEnd() instanceof UpstreamFailed);
  }
}
