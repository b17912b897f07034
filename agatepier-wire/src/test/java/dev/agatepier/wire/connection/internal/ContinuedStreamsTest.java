package dev.agatepier.wire.connection.internal;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.OptionalLong;
import org.testng.annotations.Test;

public class ContinuedStreamsTest {

  private final MetricRegistry metrics = new MetricRegistry();
  private final ContinuedStreams streams = new ContinuedStreams(metrics);

  /** Operators must see that a stream went on at another software version. */
  @Test
  public void countsContinuedStreamsByVersion() {
    streams.count(attempt(OptionalLong.empty(), ""));
    streams.count(attempt(OptionalLong.of(4), ""));
    streams.count(attempt(OptionalLong.of(4), "v1"));
    streams.count(attempt(OptionalLong.of(4), "v2"));
    streams.count(attempt(OptionalLong.of(5), "v2"));
    assertEquals(count("unknown"), 1);
    assertEquals(count("same"), 1);
    assertEquals(count("other"), 2);
  }

  private long count(String result) {
    return metrics.counter("upstreams.continued-" + result + "-version").getCount();
  }

  private static RunAttempt attempt(OptionalLong resumeAfter, String softwareVersion) {
    return new RunAttempt(
        new AttemptId(new RequestId("r", 1, 1), 1),
        new Upstream("u", 1, "s", "127.0.0.1", 8_000, "a", 8, false, false, "v1"),
        "w",
        new CallHead("POST", "/", List.of()),
        Bytes.EMPTY,
        new CallPlan("r", false, true, true, 2, 10_000, 500, 250, 1),
        10_000,
        resumeAfter,
        softwareVersion,
        65_536,
        OptionalLong.empty(),
        false);
  }
}
