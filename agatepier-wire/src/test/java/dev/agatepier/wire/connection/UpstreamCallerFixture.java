package dev.agatepier.wire.connection;

import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseCompleted;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseData;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseStarted;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * An upstream caller on real sockets on loopback; the test takes the place of the router's decision
 * and writes the raw bytes of upstreams.
 */
abstract class UpstreamCallerFixture {

  static final long WINDOW_BYTES = 1_000;
  static final long LIST_AGE_MILLIS = 4_321;
  static final long BUFFERED_BYTES = 8 * 1024 * 1024;
  static final String HEAD = "HTTP/1.1 200 OK\r\nLabel: %s\r\nKeep-Alive: timeout=5\r\n";
  static final String PLAIN = HEAD + "Content-Length: 5\r\n\r\n";
  static final String EVENTS = HEAD + "Content-Type: events\r\nTransfer-Encoding: chunked\r\n\r\n";
  static final String EVENT = "12\r\nid: 1\ndata: abcd\n\n\r\n";

  BlockingQueue<RouterEvent> events;
  LoopResources loops;
  Scheduler scheduler;
  MetricRegistry metrics;
  UpstreamCaller caller;
  RawUpstream upstream;

  @BeforeMethod
  public void startCaller() {
    BlockingQueue<RouterEvent> newEvents = new LinkedBlockingQueue<>();
    events = newEvents;
    upstream = new RawUpstream();
    metrics = new MetricRegistry();
    loops = createLoops();
    scheduler = Schedulers.fromExecutorService(loops.onServer(true).next());
    caller =
        new UpstreamCaller(
            new FakeUpstreamDialect(),
            () -> Table.NONE,
            () -> LIST_AGE_MILLIS,
            newEvents::add,
            System::nanoTime,
            loops,
            scheduler,
            metrics,
            failure -> newEvents.add(new RouterEvent.DrainStarted()),
            BUFFERED_BYTES,
            new MemoryBudget(2 * BUFFERED_BYTES, System::nanoTime));
    caller.start().join();
  }

  LoopResources createLoops() {
    return LoopResources.create("upstream-caller-test", 1, true);
  }

  @AfterMethod(alwaysRun = true)
  public void stopCaller() {
    upstream.close();
    caller.stop();
    loops.dispose();
  }

  AttemptId run(long number) {
    RunAttempt attempt = attempt(number, Bytes.ofText("body"));
    perform(attempt);
    return attempt.attempt();
  }

  void perform(RunAttempt attempt) {
    scheduler.schedule(() -> caller.perform(attempt));
  }

  RunAttempt attempt(long number, Bytes body) {
    return attempt(number, 1, body);
  }

  RunAttempt attempt(long number, int attempt, Bytes body) {
    return attempt(number, attempt, new CallHead("POST", "/plans", List.of()), body);
  }

  RunAttempt attempt(long number, int attempt, CallHead head, Bytes body) {
    return new RunAttempt(
        new AttemptId(new RequestId("router-1", 7, number), attempt),
        new Upstream("u1", 1, "plan-model", "127.0.0.1", upstream.port(), "a1", 8, false),
        "howrah",
        head,
        body,
        new CallPlan("r", false, false, true, 1, 10_000, 500, 0, 1),
        10_000,
        OptionalLong.empty(),
        WINDOW_BYTES);
  }

  void awaitCompletion() {
    assertTrue(awaitEnd() instanceof UpstreamResponseCompleted);
  }

  /** Returns the event that ends an attempt; skips the events before it. */
  RouterEvent awaitEnd() {
    RouterEvent event = nextEvent(RouterEvent.class);
    while (event instanceof UpstreamResponseStarted || event instanceof UpstreamResponseData) {
      event = nextEvent(RouterEvent.class);
    }
    return event;
  }

  <E extends RouterEvent> E nextEvent(Class<E> type) {
    return type.cast(RecordingLinkEvents.await(events));
  }
}
