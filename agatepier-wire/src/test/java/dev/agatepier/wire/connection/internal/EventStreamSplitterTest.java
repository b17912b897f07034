package dev.agatepier.wire.connection.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

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
      EventStreamSplitter splitter = new EventStreamSplitter(EventStreamSplitter.NO_NUMBER, true);
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
    EventStreamSplitter splitter = new EventStreamSplitter(EventStreamSplitter.NO_NUMBER, true);
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
    EventStreamSplitter splitter = new EventStreamSplitter(EventStreamSplitter.NO_NUMBER, false);
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
    EventStreamSplitter splitter = new EventStreamSplitter(EventStreamSplitter.NO_NUMBER, true);
    EventStreamSplitter.Events events =
        splitter.append(bytes("id: 4\ndata: a\n\n" + event + "id: 7\n\n")).orElseThrow();
    assertEquals(events.content().text(), "id: 4\ndata: a\n\n");
    assertEquals(events.lastNumber(), 4);
    assertTrue(splitter.isUnsound());
    EventStreamSplitter other = new EventStreamSplitter(EventStreamSplitter.NO_NUMBER, true);
    assertTrue(other.append(bytes(event)).isEmpty());
    assertTrue(other.isUnsound());
  }

  /** Event streams of plain services may have no numbers, and are never continued. */
  @Test
  public void returnsEventsWithoutNumberOfStreamsThatAreNotContinued() {
    EventStreamSplitter splitter = new EventStreamSplitter(EventStreamSplitter.NO_NUMBER, false);
    EventStreamSplitter.Events events =
        splitter.append(bytes("data: a\n\nid: 4\n\ndata: b\n\n")).orElseThrow();
    assertEquals(events.count(), 3);
    assertEquals(events.lastNumber(), 4);
    EventStreamSplitter.Events next = splitter.append(bytes("data: c\n\n")).orElseThrow();
    assertEquals(next.lastNumber(), EventStreamSplitter.NO_NUMBER);
    assertTrue(splitter.append(bytes("id: 4\n\n")).isEmpty());
    assertTrue(splitter.isUnsound());
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
