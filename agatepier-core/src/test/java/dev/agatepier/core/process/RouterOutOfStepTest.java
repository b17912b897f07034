package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.ResumingFleet.Node;
import dev.agatepier.core.process.ResumingFleet.Stream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.LongStream;
import java.util.stream.Stream.Builder;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against streams that go on at another software version through a router that has not heard
 * of the version that began them.
 */
public class RouterOutOfStepTest {

  private static final int ROUTERS = 8;
  private static final int STREAMS = 24;
  private static final int SEEDS = 10;
  private static final long SOME_EVENTS_MILLIS = 250;
  private static final long WHOLE_STREAM_MILLIS = 2_000;

  /** What a router that is out of step does not receive. */
  private enum Cut {
    PLATFORM(node -> node.behind = true),
    ROUTERS(node -> node.cutFromRouters = true),
    ALL(
        node -> {
          node.behind = true;
          node.cutFromRouters = true;
        });

    private final Consumer<Node> applied;

    Cut(Consumer<Node> applied) {
      this.applied = applied;
    }
  }

  @DataProvider
  public Object[][] cuts() {
    Builder<Object[]> cases = java.util.stream.Stream.builder();
    for (Cut cut : Cut.values()) {
      for (long silentMillis : new long[] {200, 1_000, 3_000, 4_500}) {
        LongStream.rangeClosed(1, SEEDS)
            .forEach(seed -> cases.add(new Object[] {cut, silentMillis, seed}));
      }
    }
    return cases.build().toArray(Object[][]::new);
  }

  /** A second version joins while one router is cut off; the router that began a stream ends. */
  @Test(dataProvider = "cuts")
  public void noStreamGoesOnAtTheVersionThatTheRouterKnows(Cut cut, long silentMillis, long seed) {
    ResumingFleet fleet = new ResumingFleet(seed, ROUTERS);
    fleet.useOriginCaches();
    fleet.advance(3 * ResumingFleet.TIMEOUT_MILLIS);
    Node outOfStep = fleet.nodes.get(1);
    cut.applied.accept(outOfStep);
    fleet.publish("v1", "v2");
    fleet.advance(Math.max(0, silentMillis - SOME_EVENTS_MILLIS));
    Node ending = fleet.nodes.get(0);
    List<Stream> streams = new ArrayList<>();
    for (int index = 0; index < STREAMS; index++) {
      streams.add(fleet.open(ending));
    }
    fleet.advance(SOME_EVENTS_MILLIS);
    fleet.end(ending);
    streams.forEach(stream -> fleet.call(stream, outOfStep));
    fleet.advance(WHOLE_STREAM_MILLIS);
    streams.forEach(
        stream -> assertEquals(stream.distinctVersions().size(), 1, stream.versions.toString()));
    if (cut == Cut.ROUTERS) {
      long continued = streams.stream().filter(stream -> stream.complete).count();
      assertTrue(2 * continued >= STREAMS, continued + " of " + STREAMS + " continued");
    }
  }

  /**
   * A version joins and leaves again while one router is cut off, whose links are lost for longer:
   * neither its lists nor its read of the platform have ever named that version.
   */
  @Test
  public void noStreamOfVersionThatHasLeftAgainGoesOnAtAnother() {
    ResumingFleet fleet = new ResumingFleet(1, ROUTERS);
    fleet.useOriginCaches();
    fleet.advance(3 * ResumingFleet.TIMEOUT_MILLIS);
    Node outOfStep = fleet.nodes.get(1);
    Cut.ALL.applied.accept(outOfStep);
    fleet.publish("v1", "v2");
    Node ending = fleet.nodes.get(0);
    List<Stream> streams = new ArrayList<>();
    for (int index = 0; index < STREAMS; index++) {
      streams.add(fleet.open(ending));
    }
    fleet.advance(SOME_EVENTS_MILLIS);
    outOfStep.behind = false;
    fleet.publish("v1");
    fleet.end(ending);
    streams.forEach(stream -> fleet.call(stream, outOfStep));
    fleet.advance(WHOLE_STREAM_MILLIS);
    streams.forEach(
        stream -> assertEquals(stream.distinctVersions().size(), 1, stream.versions.toString()));
  }

  /**
   * An upstream has started again with another version before its entry says so. The routers that
   * know that its streams are uncertain do not reply.
   */
  @Test
  public void noStreamOfUncertainVersionGoesOnAtTheListedOne() {
    ResumingFleet fleet = new ResumingFleet(1, ROUTERS);
    fleet.useOriginCaches();
    fleet.advance(3 * ResumingFleet.TIMEOUT_MILLIS);
    Node outOfStep = fleet.nodes.get(1);
    Cut.ROUTERS.applied.accept(outOfStep);
    fleet.uncertain = true;
    Node ending = fleet.nodes.get(0);
    Stream stream = fleet.open(ending);
    fleet.advance(SOME_EVENTS_MILLIS);
    fleet.uncertain = false;
    fleet.end(ending);
    final int received = stream.versions.size();
    fleet.call(stream, outOfStep);
    fleet.advance(WHOLE_STREAM_MILLIS);
    assertEquals(stream.versions.size(), received);
  }
}
