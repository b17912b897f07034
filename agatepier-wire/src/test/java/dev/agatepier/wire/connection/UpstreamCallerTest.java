package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterEvent.UpstreamFailed;
import dev.agatepier.core.process.RouterEvent.UpstreamLoadReported;
import dev.agatepier.core.process.RouterEvent.UpstreamNotRun;
import dev.agatepier.core.process.RouterEvent.UpstreamNoticed;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseCompleted;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseData;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseStarted;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.wire.RawSocket;
import dev.agatepier.wire.RecordedLog;
import dev.agatepier.wire.process.internal.RequestLog;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

public class UpstreamCallerTest extends UpstreamCallerFixture {

  @Test
  public void buffersPlainResponseUntilComplete() throws Exception {
    AttemptId attempt = run(1);
    try (RawSocket socket = upstream.accept()) {
      String request = socket.readUntil("body");
      assertTrue(request.startsWith("POST /plans HTTP/1.1\r\n"), request);
      assertTrue(request.contains("content-length: 4\r\n"), request);
      socket.write(PLAIN.formatted(1) + "sea");
      assertEquals(events.poll(50, TimeUnit.MILLISECONDS), null);
      socket.write("ts");
      assertEquals(nextEvent(UpstreamResponseStarted.class).head().status(), 200);
      assertEquals(nextEvent(UpstreamResponseData.class).content().text(), "seats");
      assertEquals(nextEvent(UpstreamResponseCompleted.class).attempt(), attempt);
    }
  }

  /** A process that was suspended after the decision would send all its requests at once. */
  @Test
  public void doesNotSendRequestThatIsTooLate() {
    RunAttempt late = attempt(1, Bytes.ofText("body")).sendBy(System.nanoTime() - 1);
    perform(late);
    assertEquals(
        nextEvent(UpstreamNotRun.class),
        new UpstreamNotRun(late.attempt(), Reason.WITHDRAWN, false));
    try (RawSocket socket = upstream.accept()) {
      assertEquals(socket.readAll(), "");
    }
  }

  @Test
  public void streamsEventsAsReceived() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(EVENTS.formatted(1) + EVENT);
      nextEvent(UpstreamResponseStarted.class);
      UpstreamResponseData sent = nextEvent(UpstreamResponseData.class);
      assertEquals(sent.content().text(), "id: 1\ndata: abcd\n\n");
      assertEquals(sent.lastEvent(), 1);
      socket.write("0\r\n\r\n");
      nextEvent(UpstreamResponseCompleted.class);
    }
  }

  /** Guards against lost events of which no line names the request. */
  @Test
  public void logsTheNumbersOfEventsOfAttempt() {
    try (RecordedLog log = new RecordedLog(RequestLog.class);
        RawSocket socket = runWithGap(1)) {
      socket.write("0\r\n\r\n");
      awaitCompletion();
      awaitLogLine();
      String ended = log.of("attempt-ended", attempt(1, Bytes.EMPTY).attempt().request()).getLast();
      assertTrue(ended.contains("eventGaps=\"1\""), ended);
      assertTrue(ended.contains("firstEvent=\"1\""), ended);
      assertTrue(ended.contains("lastEvent=\"3\""), ended);
      assertEquals(metrics.counter("upstreams.event-gaps").getCount(), 1);
    }
  }

  /** The line of a broken attempt states how far its stream came. */
  @Test
  public void logsTheNumbersOfEventsOfBrokenAttempt() {
    try (RecordedLog log = new RecordedLog(RequestLog.class)) {
      runWithGap(1).close();
      assertTrue(awaitEnd() instanceof UpstreamFailed);
      String ended = log.of("attempt-ended", attempt(1, Bytes.EMPTY).attempt().request()).getLast();
      assertTrue(ended.contains("eventGaps=\"1\" firstEvent=\"1\" lastEvent=\"3\""), ended);
      assertEquals(metrics.counter("upstreams.event-gaps").getCount(), 1);
    }
  }

  /**
   * A joined stream whose end is missing looks complete, and one that was continued by a list which
   * misses a release looks like any other.
   */
  @Test
  public void logsListAgeAndEndOfContinuedStream() {
    RunAttempt first = attempt(1, Bytes.ofText("body"));
    try (RecordedLog log = new RecordedLog(RequestLog.class)) {
      perform(
          new RunAttempt(
              first.attempt(),
              first.upstream(),
              first.workspace(),
              first.head(),
              first.body(),
              first.plan(),
              first.timeLeftMillis(),
              OptionalLong.of(4),
              WINDOW_BYTES));
      try (RawSocket socket = upstream.accept()) {
        socket.readUntil("body");
        socket.write(EVENTS.formatted(1) + "0\r\n\r\n");
        awaitCompletion();
        awaitLogLine();
      }
      String started = log.of("attempt-started", first.attempt().request()).getLast();
      assertTrue(started.contains("listAgeMillis=\"4321\""), started);
      String ended = log.of("attempt-ended", first.attempt().request()).getLast();
      assertTrue(ended.contains("firstEvent=\"-1\" lastEvent=\"-1\""), ended);
    }
  }

  /** Waits for a line that follows the event which was received. */
  private void awaitLogLine() {
    CompletableFuture.runAsync(() -> {}, scheduler::schedule).join();
  }

  /** Starts an attempt and sends events 1 and 3 of its response. */
  private RawSocket runWithGap(long number) {
    run(number);
    RawSocket socket = upstream.accept();
    socket.readUntil("body");
    socket.write(EVENTS.formatted(number) + EVENT + EVENT.replace("id: 1", "id: 3"));
    return socket;
  }

  /** Guards against a load that is lost because no content of the response has arrived yet. */
  @Test
  public void reportsTheLoadThatTheHeadStates() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(EVENTS.formatted("1\r\nLoad: 5"));
      assertEquals(nextEvent(UpstreamLoadReported.class).report().running(), 5);
    }
  }

  /** Guards against a response that fails because its load cannot be read. */
  @Test
  public void countsAndIgnoresAnUnreadableLoad() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(PLAIN.formatted("1\r\nLoad: unreadable") + "seats");
      awaitCompletion();
      assertEquals(metrics.counter("upstreams.unreadable-loads").getCount(), 1);
    }
  }

  @Test
  public void reusesConnection() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(PLAIN.formatted(1) + "seats");
      awaitCompletion();
      run(2);
      assertTrue(socket.readUntil("body").contains("label: 2"));
      socket.write(PLAIN.formatted(2) + "chair");
      awaitCompletion();
    }
  }

  @Test
  public void unframedResponseIsCompleteOnlyAfterOrderlyClose() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(HEAD.formatted(1) + "\r\nseats");
    }
    nextEvent(UpstreamResponseStarted.class);
    assertEquals(nextEvent(UpstreamResponseData.class).content().text(), "seats");
    nextEvent(UpstreamResponseCompleted.class);
    run(2);
    RawSocket socket = upstream.accept();
    socket.readUntil("body");
    socket.write(HEAD.formatted(2) + "\r\nseats");
    socket.reset();
    nextEvent(UpstreamFailed.class);
  }

  @Test
  public void rejectionByUpstreamIsNotRun() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write("HTTP/1.1 503 Busy\r\nLabel: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
      UpstreamNotRun notRun = nextEvent(UpstreamNotRun.class);
      assertTrue(notRun.rejectedByUpstream());
      run(2);
      assertTrue(socket.readUntil("body").contains("label: 2"), "the connection is reused");
    }
  }

  /** Guards against a notice that waits until a stream has content. */
  @Test
  public void noticeIsReportedWithTheHead() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(EVENTS.formatted(1 + "\r\nLeaving: 1"));
      UpstreamNoticed noticed = nextEvent(UpstreamNoticed.class);
      assertEquals(noticed.upstream().name(), "u1");
      assertTrue(noticed.notice().leaving());
    }
  }

  /** Guards against a repeated rejection of an earlier request that counts for a later one. */
  @Test
  public void rejectionThatMayBeRepeatedSaysNothingOfTheUpstream() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(PLAIN.formatted(1) + "seats");
      awaitCompletion();
      run(2);
      socket.readUntil("body");
      socket.write("HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n");
      nextEvent(UpstreamFailed.class);
    }
  }

  @Test
  public void unreachableUpstreamIsNotRun() {
    upstream.close();
    run(1);
    UpstreamNotRun notRun = nextEvent(UpstreamNotRun.class);
    assertEquals(notRun.reason(), Reason.UPSTREAM_UNREACHABLE);
    assertFalse(notRun.rejectedByUpstream());
  }

  @Test
  public void doesNotReuseConnectionAfterEarlyResponse() {
    perform(attempt(1, new Bytes(new byte[8_000_000])));
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("\r\n\r\n");
      socket.write(PLAIN.formatted(1) + "seats");
      awaitCompletion();
    }
  }

  @Test
  public void cancelClosesConnection() {
    AttemptId attempt = run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      scheduler.schedule(() -> caller.perform(new RouterEffect.CancelAttempt(attempt)));
      assertEquals(nextEvent(UpstreamFailed.class).reason(), Reason.WITHDRAWN);
      assertEquals(socket.readAll(), "");
    }
  }

  /** A request that may have reached the upstream must not be called not run. */
  @Test
  public void cancelOfUnsentAttemptLeavesSentOneAlone() {
    AttemptId attempt = run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      scheduler.schedule(() -> caller.perform(new RouterEffect.CancelUnsentAttempt(attempt)));
      socket.write(PLAIN.formatted(1) + "seats");
      awaitCompletion();
    }
  }

  @Test
  public void cancelsAttemptWhoseConnectionIsBeingOpened() {
    RouterEffect.RunAttempt attempt = attempt(1, Bytes.ofText("body"));
    scheduler.schedule(
        () -> {
          caller.perform(attempt);
          caller.perform(new RouterEffect.CancelUnsentAttempt(attempt.attempt()));
        });
    UpstreamNotRun notRun = nextEvent(UpstreamNotRun.class);
    assertEquals(notRun.reason(), Reason.WITHDRAWN);
    assertFalse(notRun.rejectedByUpstream());
  }

  @Test
  public void readsNoFurtherThanFlowControlWindow() throws Exception {
    AttemptId attempt = run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(EVENTS.formatted(1));
      long seen = 0;
      for (int index = 0; index < 400; index++) {
        socket.write(EVENT.replace("1\ndata: ab", 100 + index + "\ndata: "));
      }
      nextEvent(UpstreamResponseStarted.class);
      RouterEvent event = events.poll(200, TimeUnit.MILLISECONDS);
      while (event instanceof UpstreamResponseData sent) {
        seen += sent.content().size();
        event = events.poll(200, TimeUnit.MILLISECONDS);
      }
      assertTrue(seen >= WINDOW_BYTES && seen < 400 * 18, seen + " bytes read without credit");
      scheduler.schedule(() -> caller.perform(new RouterEffect.ReadAttempt(attempt, 100_000)));
      nextEvent(UpstreamResponseData.class);
    }
  }
}
