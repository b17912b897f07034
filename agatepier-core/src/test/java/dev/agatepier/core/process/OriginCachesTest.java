package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.ResumingFleet.Node;
import dev.agatepier.core.process.ResumingFleet.Stream;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Streams that are resumed after all routers were killed, by the memory beside the upstreams. */
public class OriginCachesTest {

  private static final int ROUTERS = 4;
  private static final int STREAMS = 60;
  private static final long SOME_EVENTS_MILLIS = 250;
  private static final long WHOLE_STREAM_MILLIS = 2_000;
  private static final long RESTART_MILLIS = 50;

  @DataProvider
  public Object[][] seeds() {
    return LongStream.rangeClosed(1, 20)
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  /** Guards against streams that nobody can resume while upstreams of their version serve. */
  @Test(dataProvider = "seeds")
  public void streamsGoOnAtTheirVersionAfterAllRoutersWereKilled(long seed) {
    ResumingFleet fleet = twoVersions(seed);
    for (int index = 0; index < STREAMS; index++) {
      fleet.open(fleet.nodes.get(index % ROUTERS));
    }
    fleet.advance(SOME_EVENTS_MILLIS);
    killAll(fleet);
    fleet.advance(WHOLE_STREAM_MILLIS);
    for (Stream stream : fleet.streams) {
      assertTrue(stream.complete, "stream ended with " + stream.rejected);
      assertEquals(stream.distinctVersions().size(), 1);
    }
  }

  /** Caches that have restarted know nothing: the refusal is early and true. */
  @Test
  public void streamThatNoCacheKnowsIsRejectedAsNotRun() {
    ResumingFleet fleet = twoVersions(1);
    Stream stream = fleet.open(fleet.nodes.get(0));
    fleet.advance(SOME_EVENTS_MILLIS);
    for (String name : new String[] {"v1-0", "v1-1", "v2-0", "v2-1"}) {
      fleet.startCache("at-" + name);
    }
    killAll(fleet);
    fleet.advance(WHOLE_STREAM_MILLIS);
    assertEquals(stream.rejected, Reason.STREAM_ORIGIN_UNKNOWN);
    assertEquals(stream.outcome, Outcome.NOT_RUN);
    assertTrue(stream.endedMillis - stream.calledMillis < 700, "rejected without a long wait");
  }

  private static ResumingFleet twoVersions(long seed) {
    ResumingFleet fleet = new ResumingFleet(seed, ROUTERS);
    fleet.publish("v1", "v2");
    fleet.useOriginCaches();
    return fleet;
  }

  private static void killAll(ResumingFleet fleet) {
    fleet.kill(fleet.nodes);
    fleet.time.after(RESTART_MILLIS, () -> fleet.nodes.forEach(Node::start));
  }
}
