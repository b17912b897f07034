package dev.agatepier.core.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.StreamMessage.StreamBegan;
import dev.agatepier.core.process.ResumingFleet.Node;
import dev.agatepier.core.process.ResumingFleet.Stream;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.StreamKey;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against streams whose events come from upstreams of two software versions. */
public class ResumedStreamsTest {

  private static final long SEED = 11;
  private static final int ROUTERS = 8;
  private static final int STREAMS = 60;

  /** Time within which a list reaches all routers. */
  private static final int LIST_LAG_MILLIS = 150;

  /** Time in which a stream brings some of its events. */
  private static final long SOME_EVENTS_MILLIS = 250;

  private static final long WHOLE_STREAM_MILLIS = 2_000;

  private ResumingFleet fleet;

  /** Starts a fleet with upstreams of one software version. */
  @BeforeMethod
  public void startFleet() {
    fleet = new ResumingFleet(SEED, ROUTERS);
  }

  @Test
  public void streamsOfEndedRoutersAreContinuedAtTheVersionThatBeganThem() {
    ResumingFleet many = twoVersions(SEED);
    openStreams(many);
    many.kill(List.of(many.nodes.get(0), many.nodes.get(1)));
    many.advance(WHOLE_STREAM_MILLIS);
    for (Stream stream : many.streams) {
      assertTrue(stream.complete, "stream ended with " + stream.rejected);
      assertEquals(stream.distinctVersions().size(), 1);
    }
  }

  @Test
  public void streamContinuedAtTheWrongVersionGoesBackToTheOneThatBeganIt() {
    ResumingFleet two = twoVersions(SEED);
    Stream stream = two.open(two.nodes.get(0));
    two.advance(SOME_EVENTS_MILLIS);
    String began = stream.versions.getFirst();
    Node misled = two.nodes.stream().filter(node -> !two.nodes.get(0).equals(node)).findAny().get();
    StreamKey key = StreamKey.of("w", AllocatingRouter.SERVICE, stream.firstLabel.get());
    two.kill(List.of(misled));
    misled.start();
    String other = began.equals("v1") ? "v2" : "v1";
    misled.receive(two.nodes.get(2).self, new StreamBegan(key, other));
    two.nodes.get(0).up = false;
    two.call(stream, misled);
    two.advance(SOME_EVENTS_MILLIS);
    assertEquals(stream.versions.getLast(), other);
    two.call(stream, two.nodes.get(2));
    two.advance(WHOLE_STREAM_MILLIS);
    assertEquals(stream.versions.getLast(), began);
  }

  @Test
  public void streamOfUnknownOriginIsRejectedWhileTwoVersionsServe() {
    ResumingFleet two = twoVersions(SEED);
    Stream stream = two.open(two.nodes.get(0));
    two.advance(SOME_EVENTS_MILLIS);
    restartAll(two);
    two.call(stream, two.nodes.get(1));
    two.advance(WHOLE_STREAM_MILLIS);
    assertEquals(stream.rejected, Reason.STREAM_ORIGIN_UNKNOWN);
    assertEquals(stream.outcome, Outcome.NOT_RUN);
    assertTrue(stream.endedMillis - stream.calledMillis <= 100, "rejected at once");
    assertEquals(stream.distinctVersions().size(), 1);
  }

  /** The version that began the stream has no upstream any more when the routers are back. */
  @Test
  public void streamIsRejectedAfterAllRoutersRestartedDuringItsRelease() {
    fleet.advance(3 * ResumingFleet.TIMEOUT_MILLIS);
    Stream stream = fleet.open(fleet.nodes.get(0));
    fleet.advance(SOME_EVENTS_MILLIS);
    fleet.publish("v2");
    restartAll(fleet);
    fleet.nodes.forEach(node -> node.readHistory("v1", "v2"));
    fleet.call(stream, fleet.nodes.get(1));
    fleet.advance(WHOLE_STREAM_MILLIS);
    assertEquals(stream.rejected, Reason.STREAM_ORIGIN_UNKNOWN);
    assertEquals(stream.outcome, Outcome.NOT_RUN);
  }

  @Test
  public void streamContinuesAfterAllRoutersRestartedIfThereWasNeverAnotherVersion() {
    Stream stream = fleet.open(fleet.nodes.get(0));
    fleet.advance(SOME_EVENTS_MILLIS);
    restartAll(fleet);
    fleet.nodes.forEach(node -> node.readHistory("v1"));
    fleet.call(stream, fleet.nodes.get(1));
    fleet.advance(WHOLE_STREAM_MILLIS);
    assertTrue(stream.complete);
  }

  /** Without the history, another version may have left before the routers started. */
  @Test
  public void streamIsRejectedAfterAllRoutersRestartedWithoutHistory() {
    Stream stream = fleet.open(fleet.nodes.get(0));
    fleet.advance(SOME_EVENTS_MILLIS);
    fleet.publish("v2");
    restartAll(fleet);
    fleet.call(stream, fleet.nodes.get(1));
    fleet.advance(WHOLE_STREAM_MILLIS);
    assertEquals(stream.rejected, Reason.STREAM_ORIGIN_UNKNOWN);
  }

  /** A version that has just left may have begun the stream. */
  @Test
  public void streamOfUnknownOriginIsRejectedSoonAfterItsVersionLeft() {
    ResumingFleet two = twoVersions(SEED);
    Stream stream = two.open(two.nodes.get(0));
    two.advance(SOME_EVENTS_MILLIS);
    two.publish("v2");
    stream.firstLabel = Optional.of("unheard-of");
    two.call(stream, two.nodes.get(1));
    two.advance(WHOLE_STREAM_MILLIS);
    assertEquals(stream.rejected, Reason.STREAM_ORIGIN_UNKNOWN);
  }

  @Test
  public void streamOfUnknownOriginContinuesWhileThereIsOnlyOneVersion() {
    fleet.advance(3 * ResumingFleet.TIMEOUT_MILLIS);
    Stream stream = fleet.open(fleet.nodes.get(0));
    fleet.advance(SOME_EVENTS_MILLIS);
    stream.firstLabel = Optional.of("unheard-of");
    fleet.call(stream, fleet.nodes.get(1));
    fleet.advance(WHOLE_STREAM_MILLIS);
    assertTrue(stream.complete);
  }

  /** The restarted router cannot know itself that there was no other version. */
  @Test
  public void restartedRouterLearnsFromOthersThatThereIsOnlyOneVersion() {
    ResumingFleet one = new ResumingFleet(SEED, ROUTERS);
    one.advance(3 * ResumingFleet.TIMEOUT_MILLIS);
    Stream stream = one.open(one.nodes.get(0));
    one.advance(SOME_EVENTS_MILLIS);
    one.kill(List.of(one.nodes.get(1)));
    one.nodes.get(1).start();
    stream.firstLabel = Optional.of("unheard-of");
    one.call(stream, one.nodes.get(1));
    one.advance(WHOLE_STREAM_MILLIS);
    assertTrue(stream.complete);
  }

  /** The upstream may have started again with a version that is not listed yet. */
  @Test
  public void streamThatAnUncertainVersionBeganIsRejected() {
    fleet.advance(3 * ResumingFleet.TIMEOUT_MILLIS);
    fleet.uncertain = true;
    Stream stream = fleet.open(fleet.nodes.get(0));
    fleet.advance(SOME_EVENTS_MILLIS);
    fleet.kill(List.of(fleet.nodes.get(0)));
    fleet.advance(WHOLE_STREAM_MILLIS);
    assertEquals(stream.rejected, Reason.STREAM_ORIGIN_UNKNOWN);
  }

  /** The other routers list a second version that this one has not received yet. */
  @Test
  public void routerWhoseListIsBehindDoesNotRelyOnIt() {
    fleet.advance(3 * ResumingFleet.TIMEOUT_MILLIS);
    Stream stream = fleet.open(fleet.nodes.get(0));
    fleet.advance(SOME_EVENTS_MILLIS);
    fleet.nodes.get(1).behind = true;
    fleet.publish("v1", "v2");
    stream.firstLabel = Optional.of("unheard-of");
    fleet.call(stream, fleet.nodes.get(1));
    fleet.advance(WHOLE_STREAM_MILLIS);
    assertEquals(stream.rejected, Reason.STREAM_ORIGIN_UNKNOWN);
  }

  /** Another version may serve since the router was cut off. */
  @Test
  public void routerThatWasCutOffDoesNotRelyOnItsList() {
    fleet.advance(3 * ResumingFleet.TIMEOUT_MILLIS);
    Stream stream = fleet.open(fleet.nodes.get(0));
    fleet.advance(SOME_EVENTS_MILLIS);
    fleet.nodes.forEach(node -> node.silent = true);
    fleet.advance(ResumingFleet.TIMEOUT_MILLIS);
    stream.firstLabel = Optional.of("unheard-of");
    fleet.call(stream, fleet.nodes.get(1));
    fleet.advance(WHOLE_STREAM_MILLIS);
    assertEquals(stream.rejected, Reason.STREAM_ORIGIN_UNKNOWN);
  }

  @Test
  public void silentRoutersDelayRejectionsByLessThanHalfOneSecond() {
    ResumingFleet two = twoVersions(SEED);
    Stream stream = two.open(two.nodes.get(0));
    two.advance(SOME_EVENTS_MILLIS);
    two.nodes.forEach(node -> node.silent = true);
    stream.firstLabel = Optional.of("unheard-of");
    two.call(stream, two.nodes.get(1));
    two.advance(WHOLE_STREAM_MILLIS);
    assertEquals(stream.rejected, Reason.STREAM_ORIGIN_UNKNOWN);
    assertTrue(stream.endedMillis - stream.calledMillis < 500);
  }

  @Test
  public void callerThatLeavesDuringTheSearchEndsItsCall() {
    ResumingFleet two = twoVersions(SEED);
    Stream stream = two.open(two.nodes.get(0));
    two.advance(SOME_EVENTS_MILLIS);
    int received = stream.versions.size();
    two.nodes.get(0).up = false;
    stream.firstLabel = Optional.of("unheard-of");
    two.call(stream, two.nodes.get(1));
    two.disconnectCaller(stream);
    two.advance(WHOLE_STREAM_MILLIS);
    assertEquals(stream.rejected, Reason.CALLER_GONE);
    assertEquals(stream.versions.size(), received);
  }

  /** Seeds and the number of routers, of eight, that are killed at once. */
  @DataProvider
  public Object[][] kills() {
    return LongStream.rangeClosed(1, 20)
        .boxed()
        .flatMap(seed -> List.of(2, 4, 6, 8).stream().map(kills -> new Object[] {seed, kills}))
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "kills")
  public void noStreamHoldsEventsOfTwoVersionsAfterKills(long seed, int kills) {
    ResumingFleet two = twoVersions(seed);
    openStreams(two);
    List<Node> killed = two.nodes.subList(0, kills);
    List<Stream> broken =
        two.streams.stream().filter(stream -> killed.contains(stream.router)).toList();
    two.kill(killed);
    two.time.after(50, () -> killed.forEach(Node::start));
    two.advance(WHOLE_STREAM_MILLIS);
    two.streams.forEach(
        stream -> assertTrue(stream.distinctVersions().size() <= 1, stream.versions.toString()));
    if (kills <= ROUTERS / 2) {
      long continued = broken.stream().filter(stream -> stream.complete).count();
      assertTrue(2 * continued >= broken.size(), continued + " of " + broken.size() + " continued");
    }
  }

  @DataProvider
  public Object[][] seeds() {
    return LongStream.rangeClosed(1, 40)
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  /** Lists reach routers late, and routers restart, while one version replaces the other. */
  @Test(dataProvider = "seeds")
  public void noStreamHoldsEventsOfTwoVersionsDuringReleases(long seed) {
    ResumingFleet released = new ResumingFleet(seed, ROUTERS);
    released.retryRejected(3);
    released.advance(3 * ResumingFleet.TIMEOUT_MILLIS);
    String[][] lists = {{"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"}, {"v3"}};
    for (String[] list : lists) {
      released.publish(LIST_LAG_MILLIS, list);
      for (int index = 0; index < STREAMS; index++) {
        Node router = released.nodes.get(index % ROUTERS);
        released.time.after(released.time.draw(800), () -> released.open(router));
      }
      released.advance(released.time.draw(800));
      List<Node> killed =
          released.nodes.stream().filter(node -> released.time.chance(0.6)).toList();
      released.kill(killed);
      released.advance(50);
      killed.forEach(Node::restartWithHistory);
      released.advance(WHOLE_STREAM_MILLIS);
    }
    released.streams.forEach(
        stream -> assertTrue(stream.distinctVersions().size() <= 1, stream.versions.toString()));
    assertTrue(released.streams.stream().filter(stream -> stream.complete).count() > STREAMS);
  }

  private static ResumingFleet twoVersions(long seed) {
    ResumingFleet two = new ResumingFleet(seed, ROUTERS);
    two.publish("v1", "v2");
    return two;
  }

  private static void openStreams(ResumingFleet two) {
    for (int index = 0; index < STREAMS; index++) {
      two.open(two.nodes.get(index % ROUTERS));
    }
    two.advance(SOME_EVENTS_MILLIS);
  }

  private static void restartAll(ResumingFleet two) {
    List<Node> all = List.copyOf(two.nodes);
    all.forEach(node -> node.up = false);
    all.forEach(Node::start);
  }
}
