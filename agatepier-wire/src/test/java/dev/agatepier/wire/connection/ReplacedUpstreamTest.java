package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.process.RouterEvent.UpstreamConfirmed;
import dev.agatepier.core.process.RouterEvent.UpstreamNotRun;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.version.Upstream;
import dev.agatepier.wire.RawSocket;
import dev.agatepier.wire.RecordedLog;
import dev.agatepier.wire.process.internal.RequestLog;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against streams that go on at another software version since the upstream's process was
 * replaced under its name and address, and against continuations that are lost where an upstream
 * does not state its incarnation.
 */
public class ReplacedUpstreamTest extends UpstreamCallerFixture {

  private static final String LISTED = answer("200 OK", "1");
  private static final String OTHER = answer("200 OK", "2");

  @Test
  public void continuesStreamAtTheListedIncarnation() {
    perform(continuation(1, 1));
    try (RawSocket socket = upstream.accept()) {
      String request = socket.readUntil("\r\n\r\n");
      assertTrue(request.startsWith("GET /incarnation HTTP/1.1\r\nhost: u1\r\n"), request);
      socket.write(LISTED);
      assertTrue(socket.readUntil("body").contains("label: 1"));
      complete(socket, 1);
      assertEquals(count("listed"), 1);
    }
  }

  /** Each query costs the upstream a request. */
  @Test
  public void asksOnceOnConnection() {
    perform(continuation(1, 1));
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("\r\n\r\n");
      socket.write(LISTED);
      socket.readUntil("body");
      complete(socket, 1);
      perform(continuation(2, 1));
      assertTrue(socket.readUntil("body").startsWith("POST"));
      complete(socket, 2);
    }
  }

  /** Guards against streams of unknown version where the upstream can state its incarnation. */
  @Test
  public void confirmsUpstreamWhereStreamBeginsInDoubt() {
    perform(beginning(1));
    try (RawSocket socket = upstream.accept()) {
      assertTrue(socket.readUntil("\r\n\r\n").startsWith("GET /incarnation"));
      socket.write(LISTED);
      assertEquals(nextEvent(UpstreamConfirmed.class).softwareVersion(), "v1");
      assertTrue(socket.readUntil("body").startsWith("POST"));
      complete(socket, 1);
      perform(beginning(2));
      assertEquals(nextEvent(UpstreamConfirmed.class).attempt().request().number(), 2);
      assertTrue(socket.readUntil("body").startsWith("POST"));
      complete(socket, 2);
    }
  }

  /** A stream may begin at any process; its version is unknown, and the query is not repeated. */
  @Test
  public void beginsStreamAtUpstreamThatIsNotConfirmed() {
    String[] answers = {OTHER, answer("404 Not Found", "")};
    perform(beginning(1));
    try (RawSocket socket = upstream.accept()) {
      for (int number = 1; number <= answers.length; number++) {
        socket.readUntil("\r\n\r\n");
        socket.write(answers[number - 1]);
        assertTrue(socket.readUntil("body").startsWith("POST"));
        complete(socket, number);
        perform(beginning(number + 1));
      }
      assertTrue(socket.readUntil("body").startsWith("POST"));
      complete(socket, answers.length + 1);
    }
  }

  @Test
  public void doesNotSendToOtherIncarnation() {
    RunAttempt attempt = continuation(1, 1);
    try (RecordedLog log = new RecordedLog(RequestLog.class)) {
      perform(attempt);
      try (RawSocket socket = upstream.accept()) {
        socket.readUntil("\r\n\r\n");
        socket.write(OTHER);
        assertEquals(
            nextEvent(UpstreamNotRun.class),
            new UpstreamNotRun(attempt.attempt(), Reason.UPSTREAM_OTHER, false));
        assertEquals(socket.readAll(), "");
      }
      String replaced = log.of("upstream-replaced", attempt.attempt().request()).getLast();
      assertTrue(replaced.contains("listedIncarnation=\"1\""), replaced);
      assertTrue(replaced.contains("statedIncarnation=\"2\""), replaced);
      assertEquals(count("other"), 1);
    }
  }

  /** An idle connection that was opened to begin streams says nothing of later processes. */
  @Test
  public void asksOnConnectionThatHasCarriedOtherAttempts() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      assertTrue(socket.readUntil("body").startsWith("POST"));
      complete(socket, 1);
      perform(continuation(2, 1));
      assertTrue(socket.readUntil("\r\n\r\n").startsWith("GET"));
      socket.write(OTHER);
      assertEquals(nextEvent(UpstreamNotRun.class).reason(), Reason.UPSTREAM_OTHER);
    }
  }

  /** Without a required version or a listed incarnation there is nothing to compare. */
  @Test
  public void asksNothingThatItCannotCompare() {
    RunAttempt unbound = bound(1, 1, "", OptionalLong.of(4));
    RunAttempt unlisted = continuation(2, 0);
    RunAttempt first = bound(3, 1, "v1", OptionalLong.empty());
    for (RunAttempt attempt : new RunAttempt[] {unbound, unlisted, first}) {
      perform(attempt);
      try (RawSocket socket = upstream.accept()) {
        assertTrue(socket.readUntil("body").startsWith("POST"));
        complete(socket, attempt.attempt().request().number());
      }
    }
  }

  /** Returns answers after which the connection can be used again. */
  @DataProvider
  public Object[][] answersWithoutIncarnation() {
    return new Object[][] {
      {answer("404 Not Found", "")},
      {answer("404 Not Found", "1")},
      {answer("200 OK", "{\"born\":")},
      {"HTTP/1.1 103 Early Hints\r\n\r\n" + answer("400 Bad Request", "")}
    };
  }

  @Test(dataProvider = "answersWithoutIncarnation")
  public void sendsToUpstreamThatStatesNoIncarnation(String answer) {
    perform(continuation(1, 1));
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("\r\n\r\n");
      socket.write(answer);
      assertTrue(socket.readUntil("body").contains("label: 1"));
      complete(socket, 1);
      assertEquals(count("not-stated"), 1);
    }
  }

  /** Returns answers after which the connection must not be used again. */
  @DataProvider
  public Object[][] answersThatEndTheConnection() {
    return new Object[][] {
      {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\n1"},
      {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
      {"HTTP/1.1 2OO OK\r\nContent-Length: 1\r\n\r\n1"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n1"},
      {answer("200 OK", "9".repeat(70_000))},
      {LISTED + "HTTP/1.1"},
      {""}
    };
  }

  /** The last answer is none at all, which must not keep the stream for long. */
  @Test(dataProvider = "answersThatEndTheConnection")
  public void sendsOnNewConnectionAfterAnswerThatEndsTheConnection(String answer) {
    perform(continuation(1, 1));
    try (RawSocket asked = upstream.accept()) {
      asked.readUntil("\r\n\r\n");
      asked.write(answer);
      try (RawSocket socket = upstream.accept()) {
        String request = socket.readUntil("body");
        assertTrue(request.startsWith("POST") && request.contains("label: 1"), request);
        complete(socket, 1);
      }
      assertEquals(asked.readAll(), "");
    }
  }

  /** The upstream works until the deadline that it is told. */
  @Test
  public void deadlineCountsOnDuringTheQuery() {
    perform(continuation(1, 1));
    try (RawSocket asked = upstream.accept()) {
      asked.readUntil("\r\n\r\n");
      try (RawSocket socket = upstream.accept()) {
        String request = socket.readUntil("body");
        String left = request.replaceAll("(?s).*time-left: ([0-9]+).*", "$1");
        assertTrue(Integer.parseInt(left) <= 9_700, request);
      }
    }
  }

  /** Returns parts of an answer that are followed by the end of the connection. */
  @DataProvider
  public Object[][] partialAnswers() {
    return new Object[][] {
      {"", true},
      {"", false},
      {LISTED.substring(0, LISTED.length() - 1), true},
      {LISTED.substring(0, LISTED.length() - 1), false},
      {"HTTP/1.1 200 OK\r\nContent-", true},
      {"HTTP/1.1 200 OK\r\nContent-", false},
      {"HTTP/1.1 200 OK\r\n\r\n{", true}
    };
  }

  /** A process that ends while it is asked may be followed by another one. */
  @Test(dataProvider = "partialAnswers")
  public void doesNotSendWhereConnectionBreaksDuringTheQuery(String part, boolean reset) {
    RunAttempt attempt = continuation(1, 1);
    perform(attempt);
    RawSocket socket = upstream.accept();
    socket.readUntil("\r\n\r\n");
    socket.write(part);
    if (reset) {
      socket.reset();
    } else {
      socket.close();
    }
    assertEquals(
        nextEvent(UpstreamNotRun.class),
        new UpstreamNotRun(attempt.attempt(), Reason.UPSTREAM_UNREACHABLE, false));
    assertEquals(count("disconnected"), 1);
  }

  /** An upstream closes idle connections, which must not cost the stream. */
  @Test
  public void asksAgainWhereIdleConnectionBreaks() {
    run(1);
    try (RawSocket idle = upstream.accept()) {
      idle.readUntil("body");
      complete(idle, 1);
      perform(continuation(2, 1));
      idle.readUntil("\r\n\r\n");
    }
    try (RawSocket socket = upstream.accept()) {
      assertTrue(socket.readUntil("\r\n\r\n").startsWith("GET"));
      socket.write(OTHER);
      assertEquals(nextEvent(UpstreamNotRun.class).reason(), Reason.UPSTREAM_OTHER);
    }
  }

  /** A late copy of an earlier response must not be taken for the answer. */
  @Test
  public void skipsResponseToEarlierAttempt() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      complete(socket, 1);
      perform(continuation(2, 1));
      socket.readUntil("\r\n\r\n");
      socket.write(PLAIN.formatted(1) + "seats" + OTHER);
      assertEquals(nextEvent(UpstreamNotRun.class).reason(), Reason.UPSTREAM_OTHER);
    }
  }

  @Test
  public void cancelsAttemptDuringTheQuery() {
    RunAttempt attempt = continuation(1, 1);
    perform(attempt);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("\r\n\r\n");
      scheduler.schedule(() -> caller.perform(new RouterEffect.CancelAttempt(attempt.attempt())));
      UpstreamNotRun notRun = nextEvent(UpstreamNotRun.class);
      assertEquals(notRun.reason(), Reason.WITHDRAWN);
      assertFalse(notRun.rejectedByUpstream());
      assertEquals(socket.readAll(), "");
    }
  }

  private void complete(RawSocket socket, long number) {
    socket.write(PLAIN.formatted(number) + "seats");
    awaitCompletion();
  }

  private long count(String result) {
    return metrics.counter("upstreams.incarnation-" + result).getCount();
  }

  private RunAttempt continuation(long number, long incarnation) {
    return bound(number, incarnation, "v1", OptionalLong.of(4));
  }

  /** Returns an attempt that begins a stream where another process may run. */
  private RunAttempt beginning(long number) {
    return create(number, 1, "", OptionalLong.empty(), true);
  }

  /** Returns an attempt that requires a software version. */
  private RunAttempt bound(
      long number, long incarnation, String softwareVersion, OptionalLong resumeAfter) {
    return create(number, incarnation, softwareVersion, resumeAfter, false);
  }

  private RunAttempt create(
      long number,
      long incarnation,
      String softwareVersion,
      OptionalLong resumeAfter,
      boolean mayBeReplaced) {
    RunAttempt any = attempt(number, Bytes.ofText("body"));
    Upstream listed = any.upstream();
    return new RunAttempt(
        any.attempt(),
        new Upstream(
            listed.name(),
            incarnation,
            listed.service(),
            listed.address(),
            listed.port(),
            listed.dataCentre(),
            listed.slots(),
            false,
            false,
            "v1"),
        any.workspace(),
        any.head(),
        any.body(),
        any.plan(),
        any.timeLeftMillis(),
        resumeAfter,
        softwareVersion,
        WINDOW_BYTES,
        OptionalLong.empty(),
        mayBeReplaced);
  }

  private static String answer(String status, String body) {
    return "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s".formatted(status, body.length(), body);
  }
}
