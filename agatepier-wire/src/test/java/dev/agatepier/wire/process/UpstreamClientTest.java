package dev.agatepier.wire.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.SidecarEffect;
import dev.agatepier.core.process.SidecarEvent;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.wire.RawSocket;
import dev.agatepier.wire.RecordingMailbox;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class UpstreamClientTest {

  private static final AttemptId ATTEMPT = new AttemptId(new RequestId("router-1", 7, 41), 2);
  private static final long MINUTE = 60_000;
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String HALF = "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";

  private RecordingMailbox<SidecarEvent> mailbox;
  private ServerSocket upstream;
  private UpstreamClient client;

  @BeforeMethod
  public void startClient() throws IOException {
    mailbox = new RecordingMailbox<>();
    upstream = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    upstream.setSoTimeout(20_000);
    client =
        new UpstreamClient(
            new UpstreamSettings(
                "127.0.0.1", upstream.getLocalPort(), 1, 5_000, MINUTE, MINUTE, 20_000),
            mailbox);
  }

  @AfterMethod(alwaysRun = true)
  public void stopClient() throws IOException {
    client.stop().join();
    upstream.close();
  }

  @Test
  public void streamsResponseAndCountsTokens() throws IOException {
    startAttempt("//other:1/v1/chat?x=%20", 1_000, MINUTE);
    RawSocket socket = accept();
    String request = socket.readUntil("body");
    assertTrue(request.startsWith("POST //other:1/v1/chat?x=%20 HTTP/1.1\r\n"), request);
    assertTrue(request.contains("agatepier-request: router-1/7/41\r\n"), request);
    assertTrue(request.contains("agatepier-attempt: 2\r\n"), request);
    assertTrue(request.contains("x-own: 1\r\n") && !request.contains("gzip"), request);
    String events =
        "data: {\"token\":\"a\"}\n\ndata: {\"token\":\"b\"}\n\n"
            + "data: {\"usage\":{\"total_tokens\":37}}\n\ndata: [DONE]\n\n";
    socket.write(OK + "Content-Type: text/event-stream\r\nX-Up: 2\r\n");
    socket.write("Content-Length: " + events.length() + "\r\n\r\n" + events);
    SidecarEvent.UpstreamResponseStarted started =
        mailbox.next(SidecarEvent.UpstreamResponseStarted.class);
    assertTrue(started.head().headers().contains(new Header("x-up", "2")));
    int tokens = 0;
    StringBuilder text = new StringBuilder();
    while (text.length() < events.length()) {
      SidecarEvent.UpstreamResponseData sent =
          mailbox.next(SidecarEvent.UpstreamResponseData.class);
      text.append(sent.content().text());
      tokens += sent.tokens();
    }
    assertEquals(text.toString(), events);
    assertEquals(tokens, 2);
    assertEquals(mailbox.next(SidecarEvent.UpstreamResponseCompleted.class).reportedTokens(), 37);
  }

  @Test
  public void readsNoMoreThanItsCredit() throws IOException {
    startAttempt("/", 10, MINUTE);
    RawSocket socket = accept();
    socket.readUntil("body");
    socket.write(
        OK + "Transfer-Encoding: chunked\r\n\r\n19\r\n" + "a".repeat(25) + "\r\n0\r\n\r\n");
    mailbox.next(SidecarEvent.UpstreamResponseStarted.class);
    assertEquals(mailbox.next(SidecarEvent.UpstreamResponseData.class).content().size(), 10);
    client.perform(new SidecarEffect.ReadUpstream(ATTEMPT, 7));
    assertEquals(mailbox.next(SidecarEvent.UpstreamResponseData.class).content().size(), 7);
    client.perform(new SidecarEffect.ReadUpstream(ATTEMPT, 100));
    assertEquals(mailbox.next(SidecarEvent.UpstreamResponseData.class).content().size(), 8);
    mailbox.next(SidecarEvent.UpstreamResponseCompleted.class);
  }

  @DataProvider
  public Object[][] truncatedResponses() {
    return new Object[][] {
      {"", Reason.UPSTREAM_FAILED},
      {"HTTP/1.1 2", Reason.UPSTREAM_FAILED},
      {OK + "Content-Length: 9\r\n\r\nhalf", Reason.ANSWER_INCOMPLETE},
      {OK + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", Reason.ANSWER_INCOMPLETE},
      {OK + "\r\nends by close only", Reason.ANSWER_INCOMPLETE},
      {OK + HALF + "0 junk\r\n\r\n", Reason.ANSWER_INCOMPLETE},
      {OK + HALF + "0x0\r\n\r\n", Reason.ANSWER_INCOMPLETE},
      {OK + HALF + "0\r\nbad name: x\r\n\r\n", Reason.ANSWER_INCOMPLETE},
      {OK + HALF + "0\r\nname\1: x\r\n\r\n", Reason.ANSWER_INCOMPLETE},
      {OK + HALF + "0\r\nname\r\n\r\n", Reason.ANSWER_INCOMPLETE},
      {OK + HALF + "4\r\nhalf0\r\n\r\n", Reason.ANSWER_INCOMPLETE},
      {OK + "Content-Length : 4\r\n\r\nhalf", Reason.UPSTREAM_FAILED},
    };
  }

  @Test(dataProvider = "truncatedResponses")
  public void truncatedResponseIsNeverReportedAsCompleted(String response, Reason reason)
      throws IOException {
    startAttempt("/", 1_000, MINUTE);
    RawSocket socket = accept();
    socket.readUntil("body");
    socket.write(response);
    socket.close();
    SidecarEvent.UpstreamFailed failure = nextFailure();
    assertEquals(failure.reason(), reason);
    assertTrue(failure.sent());
  }

  @Test
  public void refusedConnectionIsReportedAsNotSent() throws IOException {
    upstream.close();
    startAttempt("/", 1_000, MINUTE);
    assertFalse(nextFailure().sent());
  }

  @Test
  public void resetOfPooledConnectionAfterTheWriteIsReportedAsSentAndNotRetried()
      throws IOException {
    startAttempt("/", 1_000, MINUTE);
    RawSocket socket = accept();
    socket.readUntil("body");
    socket.write(OK + "Content-Length: 0\r\n\r\n");
    mailbox.next(SidecarEvent.UpstreamResponseStarted.class);
    mailbox.next(SidecarEvent.UpstreamResponseCompleted.class);
    startAttempt("/", 1_000, MINUTE);
    socket.readUntil("body");
    socket.reset();
    assertTrue(nextFailure().sent());
  }

  @Test
  public void cancellationAndDeadlineCloseTheConnection() throws IOException {
    startAttempt("/", 1_000, MINUTE);
    RawSocket cancelled = accept();
    cancelled.readUntil("body");
    client.perform(new SidecarEffect.CancelUpstream(ATTEMPT));
    assertEquals(nextFailure().reason(), Reason.WITHDRAWN);
    assertEquals(cancelled.readAll(), "");
    startAttempt("/", 1_000, 1);
    assertEquals(nextFailure().reason(), Reason.DEADLINE);
  }

  @Test
  public void reportsHealthChangesAndCrashes() throws IOException {
    UpstreamClient checkingClient =
        new UpstreamClient(
            new UpstreamSettings("127.0.0.1", upstream.getLocalPort(), 8, 5_000, 1, 1, 20_000),
            mailbox);
    checkingClient.start();
    try {
      respondToHealthCheck(503);
      respondToHealthCheck(200);
      assertEquals(nextHealthChange(), new SidecarEvent.UpstreamHealthChanged(true, false));
      respondToHealthCheck(500);
      assertEquals(nextHealthChange(), new SidecarEvent.UpstreamHealthChanged(false, false));
      respondToHealthCheck(200);
      assertEquals(nextHealthChange(), new SidecarEvent.UpstreamHealthChanged(true, false));
      upstream.close();
      assertEquals(nextHealthChange(), new SidecarEvent.UpstreamHealthChanged(false, true));
    } finally {
      checkingClient.stop().join();
    }
  }

  private SidecarEvent.UpstreamHealthChanged nextHealthChange() {
    return mailbox.next(SidecarEvent.UpstreamHealthChanged.class);
  }

  private void respondToHealthCheck(int status) throws IOException {
    try (RawSocket socket = accept()) {
      socket.readUntil("\r\n\r\n");
      socket.write("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
    }
  }

  private SidecarEvent.UpstreamFailed nextFailure() {
    while (true) {
      SidecarEvent event = mailbox.next(SidecarEvent.class);
      assertFalse(
          event instanceof SidecarEvent.UpstreamResponseCompleted,
          "a truncated response must not complete");
      if (event instanceof SidecarEvent.UpstreamFailed failure) {
        return failure;
      }
    }
  }

  private RawSocket accept() throws IOException {
    return new RawSocket(upstream.accept());
  }

  private void startAttempt(String path, long windowBytes, long timeLeftMillis) {
    List<Header> headers = List.of(new Header("x-own", "1"), new Header("accept-encoding", "gzip"));
    client.perform(
        new SidecarEffect.StartUpstream(
            ATTEMPT,
            new CallHead("POST", path, headers),
            Bytes.ofText("body"),
            timeLeftMillis,
            windowBytes));
  }
}
