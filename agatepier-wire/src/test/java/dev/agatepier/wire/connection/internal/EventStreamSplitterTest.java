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
      EventStreamSplitter splitter = new EventStreamSplitter();
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
    EventStreamSplitter splitter = new EventStreamSplitter();
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
    EventStreamSplitter splitter = new EventStreamSplitter();
    for (String number : numbers.split(" ")) {
      splitter.append(bytes("data: no number\n\nid: " + number + "\ndata: a\n\n"));
    }
    assertEquals(splitter.gaps(), gaps);
  }

  @Test
  public void ignoresInvalidEventNumbers() {
    EventStreamSplitter splitter = new EventStreamSplitter();
    EventStreamSplitter.Events events =
        splitter.append(bytes("id: 12x\ndata: a\n\nid: 99999999999999999999\n\n")).orElseThrow();
    assertEquals(events.count(), 2);
    assertEquals(events.lastNumber(), EventStreamSplitter.NO_NUMBER);
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }
}
