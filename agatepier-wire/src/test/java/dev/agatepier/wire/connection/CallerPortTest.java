package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.version.CallerBounds;
import dev.agatepier.core.version.Table;
import dev.agatepier.wire.RawSocket;
import dev.agatepier.wire.process.Endpoint;
import dev.agatepier.wire.process.Readiness;
import dev.agatepier.wire.process.RouterEnvironment;
import dev.agatepier.wire.process.RouterSettings;
import dev.agatepier.wire.version.TableLease;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/** Real sockets on loopback; the router's decision is played by the test. */
public class CallerPortTest {

  private static final RequestMetadata FACTS =
      new RequestMetadata("howrah", "chair-desk", 1, "desk-2", 0, 0, 0, 1);
  private static final String CALL = "GET /plans HTTP/1.1\r\nHost: a\r\nLabel: one\r\n\r\n";

  private BlockingQueue<RouterEvent> events;
  private FakeCallDialect dialect;
  private LoopResources loops;
  private Scheduler scheduler;
  private CallerPort port;
  private boolean taking;

  @BeforeMethod
  public void startPort() {
    BlockingQueue<RouterEvent> fresh = new LinkedBlockingQueue<>();
    events = fresh;
    taking = true;
    dialect = new FakeCallDialect();
    loops = LoopResources.create("caller-port-test", 1, true);
    scheduler = Schedulers.fromExecutorService(loops.onServer(true).next());
    port = new CallerPort(context(fresh), dialect, scheduler);
    port.start().join();
  }

  @AfterMethod(alwaysRun = true)
  public void stopPort() {
    port.stop();
    loops.dispose();
  }

  @Test
  public void answersInPartsAndKeepsTheConnection() {
    try (RawSocket caller = RawSocket.connect(port.port())) {
      for (int round = 0; round < 2; round++) {
        caller.write(CALL);
        RequestId request = arrived().request();
        perform(new RouterEffect.BeginResponse(request, new ResponseHead(200, List.of())));
        perform(new RouterEffect.ContinueResponse(request, Bytes.ofText("seats")));
        perform(new RouterEffect.EndResponse(request, FACTS));
        String answer = caller.readUntil("0\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked"), answer);
        assertTrue(answer.endsWith("5\r\nseats\r\n0\r\n\r\n"), answer);
      }
    }
  }

  @Test
  public void answersWithLengthWhereItIsKnown() {
    try (RawSocket caller = RawSocket.connect(port.port())) {
      caller.write("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
      caller.write("2\r\nde\r\n0\r\n\r\n");
      CallArrived call = arrived();
      assertEquals(call.body().text(), "abcde");
      ResponseHead head = new ResponseHead(201, List.of(new Header("content-length", "2")));
      perform(new RouterEffect.BeginResponse(call.request(), head));
      perform(new RouterEffect.ContinueResponse(call.request(), Bytes.ofText("ok")));
      perform(new RouterEffect.EndResponse(call.request(), FACTS));
      assertEquals(
          caller.readUntil("\r\n\r\nok"), "HTTP/1.1 201 Created\r\ncontent-length: 2\r\n\r\nok");
    }
  }

  @Test
  public void takesTheNextRequestAfterTheAnswerToTheFirst() throws Exception {
    try (RawSocket caller = RawSocket.connect(port.port())) {
      caller.write(CALL + CALL.replace("one", "two"));
      RequestId first = arrived().request();
      assertEquals(events.poll(50, TimeUnit.MILLISECONDS), null, "one request at a time");
      fail(first, Outcome.NOT_RUN, Reason.OVERLOADED);
      assertTrue(caller.readUntil("not-run overloaded").contains("label: one"));
      fail(arrived().request(), Outcome.UNKNOWN, Reason.UPSTREAM_FAILED);
      assertTrue(caller.readUntil("unknown upstream-failed").contains("label: two"));
    }
  }

  @Test
  public void noticesAtOnceThatTheCallerLeaves() {
    RawSocket caller = RawSocket.connect(port.port());
    caller.write(CALL);
    RequestId request = arrived().request();
    caller.close();
    assertEquals(next(), new RouterEvent.CallerDisconnected(request));
  }

  @Test
  public void dropsRequestsWhoseCallersLeftDuringPause() throws Exception {
    CountDownLatch paused = new CountDownLatch(1);
    scheduler.schedule(() -> awaitQuietly(paused));
    for (int round = 0; round < 5; round++) {
      RawSocket impatient = RawSocket.connect(port.port());
      impatient.write(CALL);
      impatient.close();
    }
    try (RawSocket caller = RawSocket.connect(port.port())) {
      caller.write(CALL.replace("one", "last"));
      paused.countDown();
      fail(arrived().request(), Outcome.NOT_RUN, Reason.OVERLOADED);
      assertTrue(caller.readUntil("not-run overloaded").contains("label: last"));
      assertTrue(events.isEmpty(), "only the caller that stayed was told of");
    }
  }

  @Test
  public void brokenAnswerNeverLooksWhole() {
    try (RawSocket caller = RawSocket.connect(port.port())) {
      caller.write(CALL);
      RequestId request = arrived().request();
      perform(new RouterEffect.BeginResponse(request, new ResponseHead(200, List.of())));
      perform(new RouterEffect.ContinueResponse(request, Bytes.ofText("seats")));
      fail(request, Outcome.UNKNOWN, Reason.ANSWER_INCOMPLETE);
      assertTrue(caller.readAll().endsWith("seats\r\n"));
    }
  }

  @Test
  public void refusesWithoutLosingTheConnection() {
    try (RawSocket caller = RawSocket.connect(port.port())) {
      caller.write("POST /refused HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde");
      assertTrue(caller.readUntil("not-run route-unknown").startsWith("HTTP/1.1 404"));
      caller.write(CALL);
      fail(arrived().request(), Outcome.NOT_RUN, Reason.OVERLOADED);
      caller.readUntil("not-run overloaded");
    }
  }

  @Test
  public void refusesWhenTheRouterIsFull() {
    taking = false;
    try (RawSocket caller = RawSocket.connect(port.port())) {
      caller.write(CALL);
      assertTrue(caller.readUntil("not-run overloaded").startsWith("HTTP/1.1 429"));
    }
  }

  @DataProvider
  public Object[][] malformed() {
    return new Object[][] {
      {
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400
      },
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na", 400},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na", 400},
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n", 400},
      {"GET / HTTP/1.1\nHost: a\n\n", 400},
      {"GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\nHo st: a\r\n\r\n", 400},
      {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", 400},
      {"GET / HTTP/1.1\r\nHost: a\r\nLong: " + "x".repeat(2_000) + "\r\n\r\n", 431},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", 413},
    };
  }

  @Test(dataProvider = "malformed")
  public void refusesMalformedRequestAndCloses(String request, int status) {
    try (RawSocket caller = RawSocket.connect(port.port())) {
      caller.write(request);
      String answer = caller.readAll();
      assertTrue(answer.startsWith("HTTP/1.1 " + status), answer);
      assertTrue(answer.contains("connection: close"), answer);
      assertTrue(events.isEmpty(), "nothing reaches the router");
    }
  }

  @Test
  public void refusesBodyThatGrowsTooLong() {
    try (RawSocket caller = RawSocket.connect(port.port())) {
      caller.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
      caller.write("3e9\r\n" + "x".repeat(1_001) + "\r\n");
      assertTrue(caller.readAll().startsWith("HTTP/1.1 413"));
    }
  }

  @Test
  public void closesIdleConnectionsAndAnswersSlowHeads() {
    dialect.bounds = new CallerBounds(1_024, 1_000, 50, 50);
    try (RawSocket idle = RawSocket.connect(port.port());
        RawSocket slow = RawSocket.connect(port.port())) {
      slow.write("GET / HTTP/1.1\r\nHost");
      assertEquals(idle.readAll(), "");
      assertTrue(slow.readAll().startsWith("HTTP/1.1 408"));
    }
  }

  @Test
  public void stopFinishesWhatIsUnderWay() throws Exception {
    try (RawSocket caller = RawSocket.connect(port.port())) {
      caller.write(CALL);
      RequestId request = arrived().request();
      port.closeAfterResponses();
      var stopped = port.stop();
      fail(request, Outcome.NOT_RUN, Reason.DRAINING);
      assertTrue(caller.readAll().contains("connection: close"));
      stopped.get(20, TimeUnit.SECONDS);
    }
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void fail(RequestId request, Outcome outcome, Reason reason) {
    perform(new RouterEffect.FailRequest(request, outcome, reason, 0, FACTS));
  }

  private void perform(RouterEffect effect) {
    scheduler.schedule(() -> port.perform(effect));
  }

  private CallArrived arrived() {
    return (CallArrived) next();
  }

  private RouterEvent next() {
    return RecordingLinkEvents.await(events);
  }

  private RouterEnvironment.Context context(BlockingQueue<RouterEvent> fresh) {
    RouterSettings settings =
        new RouterSettings(
            null,
            new Endpoint("127.0.0.1", 0),
            RouterPolicy.DEFAULT,
            SlotAllocatorPolicy.DEFAULT,
            Optional.empty());
    return new RouterEnvironment.Context(
        settings,
        new PeerIdentity("router-1", 7, Role.ROUTER, "kolkata-a", "bengal", ""),
        () -> Table.NONE,
        new TableLease(0, System::nanoTime, System::currentTimeMillis),
        event -> taking && fresh.add(event),
        fresh::add,
        System::nanoTime,
        loops,
        new MetricRegistry(),
        () -> new Readiness(true, ""),
        failure -> fresh.add(new RouterEvent.DrainBegun()));
  }
}
