package dev.agatepier.wire.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.Ticket;
import dev.agatepier.core.version.Limits;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.ServiceKind;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Workspace;
import dev.agatepier.wire.GoldenFile;
import dev.agatepier.wire.RawSocket;
import dev.agatepier.wire.RecordingMailbox;
import dev.agatepier.wire.request.Digests;
import dev.agatepier.wire.request.TicketCodec;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class CallerListenerTest {

  private static final Bytes SECRET = Bytes.ofText("a secret of the fleet");
  private static final String KEY = "howrah:open sesame";
  private static final String AUTHORIZATION = "Authorization: Bearer " + KEY + "\r\n";
  private static final RequestMetadata METADATA =
      new RequestMetadata("howrah", "chair-desk", "plans", 0, 1, "desk-2", 0, 0, 0, 0, 1);
  private static final long NOW_NANOS = 1_000;
  private static final int WINDOW_BYTES = 65_536;

  private RecordingMailbox<RouterEvent> mailbox;
  private CallerListener listener;
  private Table table;

  @BeforeMethod
  public void startListener() {
    mailbox = new RecordingMailbox<>();
    table = table();
    listener =
        new CallerListener(
            new CallerSettings(
                "127.0.0.1", 0, 8_192, 1_000, 1_500, WINDOW_BYTES, 600_000, 60_000, 64),
            new PeerIdentity("router-1", 7, Role.ROUTER, "kolkata-a", "bengal", ""),
            SECRET,
            () -> table,
            mailbox,
            () -> NOW_NANOS,
            new MetricRegistry());
    listener.start().join();
  }

  @AfterMethod(alwaysRun = true)
  public void stopListener() {
    listener.stop();
  }

  @Test
  public void completedSessionMatchesGoldenFile() {
    Session session = new Session();
    session.send(
        "POST /services/chair-desk/swap?seat=3 HTTP/1.1\r\nHost: a\r\nX-Own: 1\r\n"
            + "Connection: close, X-Hop\r\nX-Hop: 2\r\n"
            + AUTHORIZATION
            + "Agatepier-Deadline-Millis: 500\r\nContent-Length: 5\r\n\r\nseats");
    RouterEvent.CallArrived call = mailbox.next(RouterEvent.CallArrived.class);
    assertEquals(call.head().method() + call.head().path(), "POST/swap?seat=3");
    assertEquals(call.head().headers(), List.of(new Header("x-own", "1")));
    assertEquals(call.body(), Bytes.ofText("seats"));
    assertEquals(call.deadlineNanos(), NOW_NANOS + TimeUnit.MILLISECONDS.toNanos(500));
    assertEquals(call.fingerprint().contentDigest(), digest("POST\n/swap?seat=3\nseats"));
    startResponse(call.request(), 200);
    writeContent(call.request(), "first ");
    assertEquals(mailbox.next(RouterEvent.ResponseConsumed.class).bytes(), 6);
    writeContent(call.request(), "second");
    listener.perform(new RouterEffect.EndResponse(call.request(), METADATA));
    session.assertGolden("caller-completed.txt");
  }

  @Test
  public void brokenTransferSessionMatchesGoldenFile() {
    Session session = new Session();
    session.send("GET /services/chair-desk HTTP/1.1\r\nHost: a\r\n" + AUTHORIZATION + "\r\n");
    RequestId request = mailbox.next(RouterEvent.CallArrived.class).request();
    startResponse(request, 200);
    writeContent(request, "half");
    mailbox.next(RouterEvent.ResponseConsumed.class);
    fail(request, Reason.LINK_LOST, 0);
    session.assertGolden("caller-broken-transfer.txt");
  }

  @Test
  public void failedSessionMatchesGoldenFile() {
    Session session = new Session();
    session.send(
        "GET /services/chair-desk/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            + AUTHORIZATION
            + "\r\n");
    fail(mailbox.next(RouterEvent.CallArrived.class).request(), Reason.LINK_LOST, 1_001);
    session.assertGolden("caller-failed.txt");
  }

  @Test
  public void ticketSessionMatchesGoldenFile() {
    Session session = new Session();
    session.send(
        "POST /tickets/chair-desk HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            + AUTHORIZATION
            + "Content-Length: 0\r\n\r\n");
    RequestId request = mailbox.next(RouterEvent.TicketRequested.class).request();
    listener.perform(new RouterEffect.IssueTicket(request, ticket("howrah")));
    session.assertGolden("caller-ticket.txt");
  }

  @Test
  public void forwardsTicketsThatItIssued() {
    try (RawSocket socket = RawSocket.connect(listener.port())) {
      socket.write(get("Agatepier-Ticket: " + text(ticket("howrah")) + "\r\n"));
      assertEquals(
          mailbox.next(RouterEvent.CallArrived.class).ticket().orElseThrow(), ticket("howrah"));
    }
  }

  @DataProvider
  public Object[][] rejectedRequests() {
    String line = "GET /services/chair-desk/ HTTP/1.1\r\nHost: a\r\n";
    return new Object[][] {
      {line + "\r\n", 401, "key-missing"},
      {line + AUTHORIZATION + AUTHORIZATION + "\r\n", 401, "key-missing"},
      {line + "Authorization: Bearer howrah:wrong\r\n\r\n", 401, "key-wrong"},
      {line + "Authorization: Bearer nobody:wrong\r\n\r\n", 401, "key-wrong"},
      {line + "Authorization: Bearer x\r\n\r\n", 401, "key-wrong"},
      {line.replace("chair", "other") + AUTHORIZATION + "\r\n", 404, "service-unknown"},
      {line.replace("/services", "/x") + AUTHORIZATION + "\r\n", 404, "service-unknown"},
      {line.replace("chair-desk", "plan-model") + AUTHORIZATION + "\r\n", 403, "not-allowed"},
      {line.replace("desk/", "desk/a/%2E./b") + AUTHORIZATION + "\r\n", 400, "bad-request"},
      {line.replace("1.1", "1.0") + AUTHORIZATION + "\r\n", 400, "bad-request"},
      {get("Agatepier-Deadline-Millis: soon\r\n"), 400, "bad-request"},
      {get("Agatepier-Deadline-Millis: 0\r\n"), 400, "bad-request"},
      {get("Agatepier-Ticket: a.b\r\n"), 400, "ticket-invalid"},
      {get("Agatepier-Ticket: " + text(ticket("other")) + "\r\n"), 400, "ticket-invalid"},
      {get("Content-Length: 1001\r\n"), 413, "body-too-large"},
      {
        get("Transfer-Encoding: chunked\r\n") + "3E9\r\n" + "a".repeat(1_001) + "\r\n0\r\n\r\n",
        413,
        "body-too-large"
      },
    };
  }

  @Test(dataProvider = "rejectedRequests")
  public void rejectsRequestsBeforeTheDecision(String request, int status, String reason) {
    String response = readResponse(request);
    assertTrue(response.matches("(?s)HTTP/1.[01] " + status + " .*"), response);
    assertTrue(response.contains("Agatepier-Outcome: not-run"), response);
    assertTrue(response.contains("\"outcome\":\"not-run\",\"reason\":\""), response);
    assertTrue(response.contains(reason), response);
    assertEquals(mailbox.poll(0, TimeUnit.SECONDS), null);
  }

  @Test
  public void rejectsWhenTheMailboxIsFullOrTheTableIsMissing() {
    mailbox.setFull(true);
    String overloaded = readResponse(get(""));
    assertTrue(overloaded.contains("429") && overloaded.contains("Retry-After: 1"), overloaded);
    table = Table.NONE;
    assertTrue(readResponse(get("")).contains("\"reason\":\"not-ready\""));
  }

  @Test
  public void limitsTheTotalBytesOfHeldBodies() {
    String call = get("Content-Length: 800\r\n") + "a".repeat(800);
    try (RawSocket first = RawSocket.connect(listener.port())) {
      first.write(call);
      RequestId held = mailbox.next(RouterEvent.CallArrived.class).request();
      assertTrue(readResponse(call).contains("\"reason\":\"overloaded\""));
      fail(held, Reason.DEADLINE, 0);
      first.readUntil("}}");
    }
    try (RawSocket second = RawSocket.connect(listener.port())) {
      second.write(call);
      mailbox.next(RouterEvent.CallArrived.class);
    }
  }

  @Test
  public void reportsCallersThatDisconnect() {
    RawSocket socket = RawSocket.connect(listener.port());
    socket.write(get(""));
    RequestId waiting = mailbox.next(RouterEvent.CallArrived.class).request();
    socket.close();
    assertEquals(mailbox.next(RouterEvent.CallerDisconnected.class).request(), waiting);
    RawSocket started = RawSocket.connect(listener.port());
    started.write(get(""));
    RequestId responding = mailbox.next(RouterEvent.CallArrived.class).request();
    startResponse(responding, 200);
    started.readUntil("\r\n\r\n");
    started.reset();
    assertEquals(mailbox.next(RouterEvent.CallerDisconnected.class).request(), responding);
  }

  @Test
  public void keepsTheConnectionAliveBetweenRequests() {
    try (RawSocket socket = RawSocket.connect(listener.port())) {
      for (int number = 1; number <= 3; number++) {
        socket.write(get(""));
        RequestId request = mailbox.next(RouterEvent.CallArrived.class).request();
        assertEquals(request.number(), number);
        startResponse(request, number == 2 ? 204 : 200);
        listener.perform(new RouterEffect.EndResponse(request, METADATA));
        String trailer = "Agatepier-Outcome: completed\r\n\r\n";
        assertTrue(socket.readUntil(trailer).contains("router-1/7/" + number));
      }
    }
  }

  @Test
  public void slowCallerUsesBoundedMemory() {
    int total = 64 * 1024 * 1024;
    String part = "Q".repeat(16_384);
    try (RawSocket socket = RawSocket.connect(listener.port())) {
      socket.write(get(""));
      RequestId request = mailbox.next(RouterEvent.CallArrived.class).request();
      startResponse(request, 200);
      long credit = WINDOW_BYTES;
      long sent = 0;
      boolean stalled = false;
      while (!stalled && sent < total) {
        for (; credit >= part.length(); credit -= part.length()) {
          writeContent(request, part);
          sent += part.length();
        }
        RouterEvent event = mailbox.poll(1, TimeUnit.SECONDS);
        stalled = event == null;
        credit += event instanceof RouterEvent.ResponseConsumed consumed ? consumed.bytes() : 0;
      }
      assertTrue(stalled, "the credit runs out while the caller does not read");
      listener.perform(new RouterEffect.EndResponse(request, METADATA));
      String response = socket.readUntil("Agatepier-Outcome: completed\r\n\r\n");
      assertEquals(response.chars().filter(letter -> letter == 'Q').count(), sent);
    }
  }

  @Test
  public void stopWaitsForRequestsInFlight() {
    try (RawSocket socket = RawSocket.connect(listener.port())) {
      socket.write(get(""));
      RequestId request = mailbox.next(RouterEvent.CallArrived.class).request();
      var stopped = listener.stop();
      assertFalse(stopped.isDone());
      startResponse(request, 200);
      listener.perform(new RouterEffect.EndResponse(request, METADATA));
      assertTrue(socket.readAll().endsWith("Agatepier-Outcome: completed\r\n\r\n"));
      stopped.join();
    }
  }

  private void startResponse(RequestId request, int status) {
    List<Header> headers = List.of(new Header("content-type", "text/plain"));
    listener.perform(new RouterEffect.BeginResponse(request, new ResponseHead(status, headers)));
  }

  private void writeContent(RequestId request, String text) {
    listener.perform(new RouterEffect.ContinueResponse(request, Bytes.ofText(text)));
  }

  private void fail(RequestId request, Reason reason, long retryAfterMillis) {
    listener.perform(
        new RouterEffect.FailRequest(request, Outcome.UNKNOWN, reason, retryAfterMillis, METADATA));
  }

  private String readResponse(String request) {
    try (RawSocket socket = RawSocket.connect(listener.port())) {
      socket.write(request);
      return socket.readUntil("}}");
    }
  }

  private static String get(String headers) {
    return "GET /services/chair-desk/ HTTP/1.1\r\nHost: a\r\n" + AUTHORIZATION + headers + "\r\n";
  }

  private static Ticket ticket(String workspace) {
    return new Ticket(workspace, "chair-desk", "desk-2", 5, 99, new RequestId("router-1", 7, 1));
  }

  private static String text(Ticket ticket) {
    return new TicketCodec(SECRET).encode(ticket);
  }

  private static String digest(String text) {
    byte[] content = text.getBytes(StandardCharsets.UTF_8);
    return HexFormat.of().formatHex(Digests.sha256().digest(content));
  }

  private static Table table() {
    Limits limits = new Limits(10, 10, 0);
    return new Table(
        1,
        Map.of("howrah", new Workspace("howrah", 1, digest(KEY), limits, Set.of("chair-desk"))),
        Map.of(
            "chair-desk",
            new ServiceEntry("chair-desk", ServiceKind.PLAIN, List.of(), 30_000, 0),
            "plan-model",
            new ServiceEntry("plan-model", ServiceKind.MODEL, List.of(), 30_000, 0)));
  }

  /** Records both sides of a connection for a golden file. */
  private final class Session {
    private final RawSocket socket = RawSocket.connect(listener.port());
    private final List<String> lines = new ArrayList<>();

    void send(String request) {
      socket.write(request);
      request.lines().forEach(line -> lines.add("> " + line));
    }

    void assertGolden(String name) {
      socket.readAll().lines().forEach(line -> lines.add("< " + line));
      lines.add("closed");
      new GoldenFile(name).assertLines(lines);
    }
  }
}
