package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterEvent.UpstreamFailed;
import dev.agatepier.core.process.RouterEvent.UpstreamNotRun;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseCompleted;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseData;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.Upstream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Many requests to upstreams that break the protocol in all kinds of ways. */
public class BrokenUpstreamsTest extends UpstreamCallerFixture {

  private static final int UPSTREAMS = 4;
  private static final int ATTEMPTS = 4_000;
  private static final int ATTEMPTS_IN_FLIGHT = 24;
  private static final long SEED = 17;
  private static final long CREDIT_BYTES = 1_000_000;

  private final Map<Long, StringBuilder> received = new HashMap<>();
  private int completed;
  private int failed;

  /** Guards against parts of responses, or other responses, that count as complete ones. */
  @Test
  public void eachAttemptGetsItsWholeResponseOrFails() {
    List<BrokenUpstream> upstreams = new ArrayList<>();
    try {
      for (int index = 0; index < UPSTREAMS; index++) {
        upstreams.add(new BrokenUpstream(SEED + index));
        upstreams.getLast().start();
      }
      long started = 0;
      while (completed + failed < ATTEMPTS) {
        while (started < ATTEMPTS && started - completed - failed < ATTEMPTS_IN_FLIGHT) {
          started++;
          start(started, upstreams.get((int) (started % UPSTREAMS)).port());
        }
        onEvent(nextEvent(RouterEvent.class));
      }
    } finally {
      upstreams.forEach(BrokenUpstream::close);
    }
    assertTrue(completed > ATTEMPTS / 4, completed + " completed");
    assertTrue(failed > ATTEMPTS / 4, failed + " failed");
  }

  private void start(long number, int port) {
    RunAttempt attempt = attempt(number, Bytes.ofText("body"));
    received.put(number, new StringBuilder());
    perform(
        new RunAttempt(
            attempt.attempt(),
            new Upstream("u" + port, 1, "plan-model", "127.0.0.1", port, "a1", 8, false),
            attempt.workspace(),
            attempt.head(),
            attempt.body(),
            attempt.plan(),
            attempt.timeLeftMillis(),
            attempt.resumeAfter(),
            CREDIT_BYTES));
  }

  private void onEvent(RouterEvent event) {
    switch (event) {
      case UpstreamResponseData data ->
          received.get(data.attempt().request().number()).append(data.content().text());
      case UpstreamResponseCompleted ended -> {
        completed++;
        long number = ended.attempt().request().number();
        assertEquals(received.get(number).toString(), BrokenUpstream.content(number));
      }
      case UpstreamFailed ended -> failed++;
      case UpstreamNotRun ended -> failed++;
      case RouterEvent.DrainStarted failure -> throw new AssertionError("a connection failed");
      default -> {
        // The attempt goes on.
      }
    }
  }
}
