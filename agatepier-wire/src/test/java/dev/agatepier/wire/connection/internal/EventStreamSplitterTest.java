package dev.agatepier.wire.connection.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.wire.connection.internal.EventStreamSplitter.Numbering;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EventStreamSplitterTest {

  private static final String STREAM =
      ": hello\n\nid: 4\ndata: a\n\nid:5\r\ndata: b\r\n\r\nversion: 2\nid: 6\ndata: c\ndata: d\n\n";

  @Test
  public void returnsCompleteEventsForEveryChunkSize() {
    for (int size = 1; size <= STREAM.length(); size++) {
      EventStreamSplitter splitter =
          new EventStreamSplitter(EventStreamSplitter.NO_NUMBER, Numbering.REQUIRED);
      StringBuilder returned = new StringBuilder();
      List<Long> numbers = new ArrayList<>();
      for (int from = 0; from < STREAM.length(); from += size) {
        String chunk = STREAM.substring(from, Math.min(from + size, STREAM.length()));
        splitter
            .append(Unpooled.copiedBuffer(chunk, StandardCharsets.UTF_8))
            .ifPresent(
                events -> {
                  returned.append(events.content().text());
                  numbers.add(events.firstNumber());
                  numbers.add(events.lastNumber());
                });
      }
      assertEquals(returned.toString(), STREAM, "chunk size " + size);
      assertEquals(numbers.getFirst(), 4L);
      assertEquals(numbers.getLast(), 6L);
      assertFalse(splitter.hasPartialEvent());
    }
  }

  @Test
  public void buffersPartialEvent() {
    EventStreamSplitter splitter =
        new EventStreamSplitter(EventStreamSplitter.NO_NUMBER, Numbering.REQUIRED);
    assertTrue(splitter.append(bytes("id: 1\ndata: half\n")).isEmpty());
    assertTrue(splitter.hasPartialEvent());
    EventStreamSplitter.Events events = splitter.append(bytes("\nid: 2")).orElseThrow();
    assertEquals(events.content().text(), "id: 1\ndata: half\n\n");
    assertEquals(events.count(), 1);
    assertTrue(splitter.hasPartialEvent());
  }

  @DataProvider
  public Object[][] numbersOfStreams() {
    return new Object[][] {{"1 2 3", 0}, {"3 4", 0}, {"1 2 4 5", 1}, {"1 2 1 2 3", 1}, {"1 1", 1}};
  }

  /** Guards against events that an upstream leaves out or repeats without a trace. */
  @Test(dataProvider = "numbersOfStreams")
  public void countsNumbersThatDoNotFollow(String numbers, int gaps) {
    EventStreamSplitter splitter =
        new EventStreamSplitter(EventStreamSplitter.NO_NUMBER, Numbering.OPTIONAL);
    for (String number : numbers.split(" ")) {
      splitter.append(bytes("data: no number\n\nid: " + number + "\ndata: a\n\n"));
    }
    assertEquals(splitter.gaps(), gaps);
  }

  @DataProvider
  public Object[][] eventsWithoutNumber() {
    return new Object[][] {
      {"id: 12x\ndata: a\n\n"},
      {"id: 99999999999999999999\ndata: a\n\n"},
      {"ie: 5\ndata: a\n\n"},
      {"id; 5\ndata: a\n\n"},
      {"id:\ndata: a\n\n"},
      {"data: a\n\n"},
      {"id: 5\ndata: a\nid: 6\ndata: b\n\n"},
    };
  }

  /**
   * Guards against an event that comes twice: a stream that breaks off would be continued before an
   * event whose number is spoilt.
   */
  @Test(dataProvider = "eventsWithoutNumber")
  public void returnsNoEventFromOneWithoutNumberOn(String event) {
    EventStreamSplitter splitter =
        new EventStreamSplitter(EventStreamSplitter.NO_NUMBER, Numbering.REQUIRED);
    EventStreamSplitter.Events events =
        splitter.append(bytes("id: 4\ndata: a\n\n" + event + "id: 7\n\n")).orElseThrow();
    assertEquals(events.content().text(), "id: 4\ndata: a\n\n");
    assertEquals(events.lastNumber(), 4);
    assertTrue(splitter.isUnsound());
    EventStreamSplitter other =
        new EventStreamSplitter(EventStreamSplitter.NO_NUMBER, Numbering.REQUIRED);
    assertTrue(other.append(bytes(event)).isEmpty());
    assertTrue(other.isUnsound());
  }

  /** A route that is not declared as streaming may have an event stream without numbers. */
  @Test
  public void returnsEventsWithoutNumberOfOtherRoutes() {
    EventStreamSplitter splitter =
        new EventStreamSplitter(EventStreamSplitter.NO_NUMBER, Numbering.OPTIONAL);
    EventStreamSplitter.Events events =
        splitter.append(bytes("data: a\n\nid: 4\n\ndata: b\n\n")).orElseThrow();
    assertEquals(events.count(), 3);
    assertEquals(events.lastNumber(), 4);
    EventStreamSplitter.Events next = splitter.append(bytes("data: c\n\n")).orElseThrow();
    assertEquals(next.lastNumber(), EventStreamSplitter.NO_NUMBER);
    assertTrue(splitter.append(bytes("id: 4\n\n")).isEmpty());
    assertTrue(splitter.isUnsound());
  }

  @DataProvider
  public Object[][] streamsWithSpoiltNumber() {
    return new Object[][] {
      {0, "9 2", ""},
      {-1, "0 1 1", "0 1"},
      {0, "1 2 9 4", "1 2"},
      {0, "1 3 3", "1"},
      {4, "9 6", ""},
      {4, "5 90 7", "5"},
      {4, "5 7 9 8", "5 7"},
    };
  }

  /**
   * Guards against missing events in a resumed stream: a spoilt id that is too high must not be
   * returned, as the stream would be resumed after it.
   */
  @Test(dataProvider = "streamsWithSpoiltNumber")
  public void returnsNoEventWhoseNumberTheNextContradicts(long after, String sent, String sound) {
    EventStreamSplitter splitter = new EventStreamSplitter(after, Numbering.CONFIRMED);
    StringBuilder returned = new StringBuilder();
    for (String number : sent.split(" ")) {
      splitter
          .append(bytes("id: " + number + "\n\n"))
          .ifPresent(events -> returned.append(events.content().text()));
    }
    assertEquals(returned.toString().replace("id: ", "").replace("\n\n", " ").strip(), sound);
    assertTrue(splitter.isUnsound());
  }

  /** Numbers may skip some, also the last one, behind which only the end follows. */
  @Test
  public void returnsEventsThatSkipNumbersOnceTheyAreConfirmed() {
    EventStreamSplitter splitter = new EventStreamSplitter(2, Numbering.CONFIRMED);
    assertTrue(splitter.append(bytes("id: 5\n\n")).isEmpty());
    EventStreamSplitter.Events confirmed = splitter.append(bytes("id: 6\n\n")).orElseThrow();
    assertEquals(confirmed.content().text(), "id: 5\n\nid: 6\n\n");
    assertEquals(confirmed.count(), 2);
    assertEquals(confirmed.firstNumber(), 5);
    assertTrue(splitter.append(bytes("id: 80\n\n")).isEmpty());
    assertFalse(splitter.hasPartialEvent());
    assertEquals(splitter.end().orElseThrow().lastNumber(), 80);
    assertTrue(splitter.end().isEmpty());
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
