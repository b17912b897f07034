package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterEvent.UpstreamFailed;
import dev.agatepier.core.process.RouterEvent.UpstreamNotRun;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseCompleted;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseData;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseStarted;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import dev.agatepier.wire.RawSocket;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * Uses real sockets on loopback; the test takes the place of the router's decision and writes the
 * raw bytes of upstreams.
 */
public class UpstreamCallerTest {

  private static final long WINDOW_BYTES = 1_000;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nLabel: %s\r\nKeep-Alive: timeout=5\r\n";
  private static final String PLAIN = HEAD + "Content-Length: 5\r\n\r\n";
  private static final String EVENTS =
      HEAD + "Content-Type: events\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String EVENT = "12\r\nid: 1\ndata: abcd\n\n\r\n";

  private BlockingQueue<RouterEvent> events;
  private LoopResources loops;
  private Scheduler scheduler;
  private UpstreamCaller caller;
  private RawUpstream upstream;

  @BeforeMethod
  public void startCaller() {
    BlockingQueue<RouterEvent> newEvents = new LinkedBlockingQueue<>();
    events = newEvents;
    upstream = new RawUpstream();
    loops = LoopResources.create("upstream-caller-test", 1, true);
    scheduler = Schedulers.fromExecutorService(loops.onServer(true).next());
    caller =
        new UpstreamCaller(
            new FakeUpstreamDialect(),
            () -> Table.NONE,
            newEvents::add,
            System::nanoTime,
            loops,
            scheduler,
            new MetricRegistry(),
            failure -> newEvents.add(new RouterEvent.DrainStarted()));
    caller.start().join();
  }

  @AfterMethod(alwaysRun = true)
  public void stopCaller() {
    upstream.close();
    caller.stop();
    loops.dispose();
  }

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
  public void unreachableUpstreamIsNotRun() {
    upstream.close();
    run(1);
    UpstreamNotRun notRun = nextEvent(UpstreamNotRun.class);
    assertEquals(notRun.reason(), Reason.UPSTREAM_UNREACHABLE);
    assertFalse(notRun.rejectedByUpstream());
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

  @Test
  public void readsNoFurtherThanFlowControlWindow() throws Exception {
    AttemptId attempt = run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(EVENTS.formatted(1));
      long seen = 0;
      for (int index = 0; index < 400; index++) {
        socket.write(EVENT);
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

  private AttemptId run(long number) {
    RunAttempt attempt = attempt(number, Bytes.ofText("body"));
    perform(attempt);
    return attempt.attempt();
  }

  private void perform(RunAttempt attempt) {
    scheduler.schedule(() -> caller.perform(attempt));
  }

  private RunAttempt attempt(long number, Bytes body) {
    return attempt(number, 1, body);
  }

  private RunAttempt attempt(long number, int attempt, Bytes body) {
    return new RunAttempt(
        new AttemptId(new RequestId("router-1", 7, number), attempt),
        new Upstream("u1", 1, "plan-model", "127.0.0.1", upstream.port(), "a1", 8, false),
        "howrah",
        new CallHead("POST", "/plans", List.of()),
        body,
        new CallPlan("r", false, false, true, 1, 10_000, 500, 0, 1),
        10_000,
        OptionalLong.empty(),
        WINDOW_BYTES);
  }

  private void awaitCompletion() {
    assertTrue(awaitEnd() instanceof UpstreamResponseCompleted);
  }

  /** Returns the event that ends an attempt; skips the events before it. */
  private RouterEvent awaitEnd() {
    RouterEvent event = nextEvent(RouterEvent.class);
    while (event instanceof UpstreamResponseStarted || event instanceof UpstreamResponseData) {
      event = nextEvent(RouterEvent.class);
    }
    return event;
  }

  private <E extends RouterEvent> E nextEvent(Class<E> type) {
    return type.cast(RecordingLinkEvents.await(events));
  }
}
