package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterEvent.UpstreamFailed;
import dev.agatepier.core.process.RouterEvent.UpstreamNotRun;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseCompleted;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseData;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseStarted;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Reason;
import dev.agatepier.wire.RawSocket;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses that break the protocol, or that belong to another attempt. */
public class FaultyUpstreamTest extends UpstreamCallerFixture {

  @DataProvider
  public Object[][] broken() {
    return new Object[][] {
      {PLAIN.formatted(1) + "sea"},
      {EVENTS.formatted(1) + EVENT},
      {EVENTS.formatted(1) + "7\r\nid: 1\nd\r\n0\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
      {"this is not an HTTP response\r\n\r\n"},
      {""},
      {"HTTP/1.1 200 OK\r\nLabel: 1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok"},
    };
  }

  /**
   * An attempt with a malformed or incomplete response may have run: it must be reported as failed,
   * never as completed or not run.
   */
  @Test(dataProvider = "broken")
  public void reportsBrokenResponseAsFailed(String response) {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(response);
    }
    RouterEvent last = nextEvent(RouterEvent.class);
    while (!(last instanceof UpstreamFailed)) {
      assertFalse(
          last instanceof UpstreamResponseCompleted || last instanceof UpstreamNotRun, "" + last);
      last = nextEvent(RouterEvent.class);
    }
  }

  @DataProvider
  public Object[][] endless() {
    String head = HEAD.formatted(1);
    String kilobyte = "x".repeat(1_024);
    return new Object[][] {
      {"", kilobyte},
      {"HTTP/1.1 200 OK\r\nLong: ", kilobyte},
      {"HTTP/1.1 200 OK\r\n", "Field: " + kilobyte + "\r\n"},
      {head + "\r\n", kilobyte},
      {head + "Content-Length: 99999999999\r\n\r\n", kilobyte},
      {head + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n"},
      {head + "Transfer-Encoding: chunked\r\n\r\n", "0".repeat(1_024)},
      {EVENTS.formatted(1), "400\r\n" + kilobyte + "\r\n"},
      {EVENTS.formatted(1), "400\r\n" + "\n".repeat(1_024) + "\r\n"},
      {EVENTS.formatted(1) + "0\r\n", "Field: " + kilobyte + "\r\n"},
    };
  }

  @Test(dataProvider = "endless")
  public void responseWithoutEndFailsAndClosesConnection(String start, String repeated) {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      assertTrue(writeUntilClosed(socket, start, repeated), "the connection is closed");
      assertTrue(awaitEnd() instanceof UpstreamFailed);
    }
  }

  @Test
  public void rejectionWithoutEndIsNotRunAndClosesConnection() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      String head = "HTTP/1.1 503 Busy\r\nLabel: 1\r\nNot-Run: 1\r\n\r\n";
      assertTrue(writeUntilClosed(socket, head, "x".repeat(1_024)), "the connection is closed");
      nextEvent(UpstreamNotRun.class);
    }
  }

  /** Guards against responses without end that together use up the memory of the process. */
  @Test
  public void givesUpLargestResponseWhenAllTogetherAreTooLarge() {
    int megabyte = 1024 * 1024;
    try (RawSocket first = startResponse(1, 5 * megabyte / 2);
        RawSocket endless = startResponse(2, 7 * megabyte / 2);
        RawSocket second = startResponse(3, 5 * megabyte / 2)) {
      UpstreamFailed failed = nextEvent(UpstreamFailed.class);
      assertEquals(failed.attempt().request().number(), 2);
      assertEquals(endless.readAll(), "", "the connection is closed without data");
      first.write("x");
      awaitCompletion();
      second.write("x");
      awaitCompletion();
    }
  }

  /** Starts an attempt and writes its response but for the last byte. */
  private RawSocket startResponse(long attempt, int bytes) {
    run(attempt);
    RawSocket socket = upstream.accept();
    socket.readUntil("body");
    socket.write(HEAD.formatted(attempt) + "Content-Length: " + (bytes + 1) + "\r\n\r\n");
    socket.write("x".repeat(bytes));
    return socket;
  }

  /** Writes bytes without end; returns whether the peer closes before it has read 64 MiB. */
  private static boolean writeUntilClosed(RawSocket socket, String start, String repeated) {
    try {
      socket.write(start);
      for (int count = 0; count < 65_536; count++) {
        socket.write(repeated);
      }
      return false;
    } catch (UncheckedIOException closed) {
      return true;
    }
  }

  @DataProvider
  public Object[][] returned() {
    return new Object[][] {{"503 Busy\r\nNot-Run: 1"}, {"500 Failed"}};
  }

  /**
   * An upstream may write a response once more; on the connection of the first attempt that would
   * be taken for the response to the second one, which the upstream runs.
   */
  @Test(dataProvider = "returned")
  public void requestIsNotSentTwiceOverOneConnection(String response) {
    run(1);
    try (RawSocket first = upstream.accept()) {
      first.readUntil("body");
      String rejection = "HTTP/1.1 " + response + "\r\nLabel: 1\r\nContent-Length: 0\r\n\r\n";
      first.write(rejection);
      awaitEnd();
      perform(attempt(1, 2, Bytes.ofText("body")));
      try (RawSocket second = upstream.accept()) {
        assertTrue(second.readUntil("body").contains("label: 1"));
        first.write(rejection);
        assertEquals(first.readAll(), "", "the connection is closed without data");
        second.write(PLAIN.formatted(1) + "seats");
        awaitCompletion();
      }
    }
  }

  /** Guards against a repeated response to a resumed attempt, which is taken for the next one's. */
  @Test
  public void resumedRequestIsNotSentTwiceOverOneConnection() {
    perform(resumed(attempt(1, Bytes.ofText("body"))));
    try (RawSocket first = upstream.accept()) {
      first.readUntil("body");
      first.write(PLAIN.formatted(1) + "seats");
      awaitCompletion();
      perform(resumed(attempt(1, 2, Bytes.ofText("body"))));
      try (RawSocket second = upstream.accept()) {
        assertTrue(second.readUntil("body").contains("label: 1"));
      }
    }
  }

  private static RunAttempt resumed(RunAttempt attempt) {
    return new RunAttempt(
        attempt.attempt(),
        attempt.upstream(),
        attempt.workspace(),
        attempt.head(),
        attempt.body(),
        attempt.plan(),
        attempt.timeLeftMillis(),
        OptionalLong.of(2),
        attempt.windowBytes());
  }

  @Test
  public void rejectionWithoutIdentityOnReusedConnectionProvesNothing() {
    String rejection = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(rejection);
      nextEvent(UpstreamNotRun.class);
      run(2);
      socket.readUntil("body");
      socket.write(rejection);
      nextEvent(UpstreamFailed.class);
      assertEquals(socket.readAll(), "", "the connection is closed without data");
    }
  }

  @Test
  public void doesNotReuseConnectionToAnotherUpstream() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write("HTTP/1.1 421 Other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
      assertEquals(nextEvent(UpstreamNotRun.class).reason(), Reason.UPSTREAM_OTHER);
      run(2);
      try (RawSocket other = upstream.accept()) {
        other.readUntil("body");
      }
      assertEquals(socket.readAll(), "", "the connection is closed without data");
    }
  }

  @Test
  public void discardsMismatchedResponseAndClosesConnection() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(PLAIN.formatted(77) + "other" + PLAIN.formatted(1) + "seats");
      nextEvent(UpstreamResponseStarted.class);
      assertEquals(nextEvent(UpstreamResponseData.class).content().text(), "seats");
      nextEvent(UpstreamResponseCompleted.class);
      assertEquals(socket.readAll(), "", "the connection is closed without data");
    }
  }

  @Test
  public void doesNotReuseConnectionWithUnexpectedBytes() {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(PLAIN.formatted(1) + "seats" + "HTTP/1.1 200 OK\r\nLabel: 1\r\n\r\n");
      awaitCompletion();
      assertEquals(socket.readAll(), "", "the connection is closed without data");
    }
    run(2);
    try (RawSocket newConnection = upstream.accept()) {
      newConnection.readUntil("body");
    }
    nextEvent(UpstreamFailed.class);
  }

  @DataProvider
  public Object[][] partsOfResponses() {
    return new Object[][] {
      {"HTTP/1.1 200 OK\r\nName: "}, {"HTTP/1.1 200 OK\r\nName: x\r\n"}, {"HTTP/1."}, {"\r"},
    };
  }

  /** Guards against a late part of a second response that becomes the head of the next one. */
  @Test(dataProvider = "partsOfResponses")
  public void doesNotReuseConnectionWithPartOfAnotherResponse(String part) {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(PLAIN.formatted(1) + "seats" + part);
      awaitCompletion();
      run(2);
      assertEquals(socket.readUntilOrEnd("body"), "", "the connection is closed without data");
      try (RawSocket newConnection = upstream.accept()) {
        newConnection.readUntil("body");
        newConnection.write(PLAIN.formatted(2).replace("200", "500") + "seats");
        assertEquals(nextEvent(UpstreamResponseStarted.class).head().status(), 500);
      }
    }
  }

  /** Guards against a wait for the end of the connection, which does not end a response to HEAD. */
  @Test
  public void responseToHeadWithoutLengthIsComplete() {
    perform(attempt(1, 1, new CallHead("HEAD", "/plans", List.of()), Bytes.ofText("")));
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("\r\n\r\n");
      socket.write(HEAD.formatted(1) + "\r\n");
      awaitCompletion();
      run(2);
      socket.readUntil("body");
    }
    nextEvent(UpstreamFailed.class);
  }
}
