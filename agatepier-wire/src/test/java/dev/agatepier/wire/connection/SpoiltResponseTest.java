package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.process.RouterEvent.UpstreamFailed;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseCompleted;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseData;
import dev.agatepier.core.process.RouterEvent.UpstreamResponseStarted;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.RawSocket;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Responses with spoilt bytes, which must not count as complete ones that are shorter. */
public class SpoiltResponseTest extends UpstreamCallerFixture {

  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n5\r\nseats\r\n0\r\n\r\n";

  /** What follows the first event of a stream. */
  @DataProvider
  public Object[][] spoiltChunks() {
    return new Object[][] {
      {"0 junk\r\n\r\n"},
      {" 0\r\n\r\n"},
      {"0 \r\n\r\n"},
      {"0\u0001\r\n\r\n"},
      {"0x0\r\n\r\n"},
      {"-0\r\n\r\n"},
      {"+0\r\n\r\n"},
      {"\r\n\r\n"},
      {"0;\r\n\r\n"},
      {"0;a=\r\n\r\n"},
      {"0;\u0001\r\n\r\n"},
      {"100000000\r\n\r\n"},
      {"10000000000000000\r\n\r\n"},
      {"0\n\n"},
      {"0\r\n\n"},
      {"0\n\r\n"},
      {"0\r\nbad name\u0001: x\r\n\r\n"},
      {"0\r\nbad name: x\r\n\r\n"},
      {"0\r\nname : x\r\n\r\n"},
      {"0\r\nname\r\n\r\n"},
      {"0\r\n: x\r\n\r\n"},
      {"0\r\n\u0001\r\n\r\n"},
      {"0\r\nÿþ: x\r\n\r\n"},
      {"0\r\nname: \u0001\r\n\r\n"},
      {"0\r\nname: x\r\n folded\r\n\r\n"},
      {"0\r\n folded\r\n\r\n"},
      {"0\r\nContent-Length: 5\r\n\r\n"},
      {"0\r\nid: 2\r\ndata: abcd\r\n\r\n"},
      {"12\r\nid: 2\ndata: abcd\n\nXX0\r\n\r\n"},
      {"12\r\nid: 2\ndata: abcd\n\n\n0\r\n\r\n"},
      {"11\r\nid: 2\ndata: abcd\n\n\r\n0\r\n\r\n"},
    };
  }

  /** Guards against a stream that ends early at spoilt bytes and reaches its caller as complete. */
  @Test(dataProvider = "spoiltChunks")
  public void streamThatSpoiltBytesEndIsNotComplete(String bytes) {
    respond(EVENTS.formatted(1) + EVENT + bytes);
    assertTrue(awaitEnd() instanceof UpstreamFailed);
  }

  @DataProvider
  public Object[][] numbers() {
    return new Object[][] {{"1,2,3", true}, {"2,7,8", true}, {"1,3,2", false}, {"1,2,2", false}};
  }

  /** Guards against a stream whose framing is sound and whose events are not those of one run. */
  @Test(dataProvider = "numbers")
  public void streamIsCompleteOnlyIfItsNumbersIncrease(String numbers, boolean complete) {
    StringBuilder stream = new StringBuilder(EVENTS.formatted(1));
    for (String number : numbers.split(",")) {
      stream.append(EVENT.replace("id: 1", "id: " + number));
    }
    respond(stream + "0\r\n\r\n");
    assertEquals(awaitEnd() instanceof UpstreamResponseCompleted, complete);
  }

  @DataProvider
  public Object[][] contradictoryEvents() {
    return new Object[][] {
      {"1,2", ",2,3", ""},
      {"1,2", ",1,3", ""},
      {"4", ",4", ""},
      {"1,2", ",2,3", "\r\n12\r\n"},
      {"2,7", ",4,5,6,7,8", "\r\n12\r\n"},
    };
  }

  /**
   * Guards against a stream in which an event comes twice or a number goes back, within one chunk
   * or in several.
   */
  @Test(dataProvider = "contradictoryEvents")
  public void eventsAreForwardedUpToTheFirstContradiction(
      String sound, String contradictory, String separator) {
    String content = events(sound + contradictory, separator);
    int size = separator.isEmpty() ? content.length() : events("1", "").length();
    respond(EVENTS.formatted(1) + Integer.toHexString(size) + "\r\n" + content + "\r\n0\r\n\r\n");
    StringBuilder received = new StringBuilder();
    RouterEvent event = nextEvent(UpstreamResponseStarted.class);
    while (!(event instanceof UpstreamFailed)) {
      event = nextEvent(RouterEvent.class);
      received.append(event instanceof UpstreamResponseData data ? data.content().text() : "");
    }
    assertEquals(received.toString(), events(sound, ""));
    assertEquals(metrics.counter("upstreams.unsound-answers").getCount(), 1);
  }

  @DataProvider
  public Object[][] continuations() {
    return new Object[][] {
      {"5,6", true}, {"7", true}, {"4", false}, {"4,5,6", false}, {"1", false}
    };
  }

  /**
   * Guards against events that are missing from a continued stream: an event with the number of one
   * that the caller has would be dropped as a repetition.
   */
  @Test(dataProvider = "continuations")
  public void streamIsContinuedOnlyByTheEventsAskedFor(String numbers, boolean continued) {
    RunAttempt first = attempt(1, Bytes.ofText("body"));
    perform(
        new RunAttempt(
            first.attempt(),
            first.upstream(),
            first.workspace(),
            first.head(),
            first.body(),
            first.plan(),
            first.timeLeftMillis(),
            OptionalLong.of(4),
            first.windowBytes()));
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      String content = events(numbers, "");
      String chunk = Integer.toHexString(content.length()) + "\r\n" + content + "\r\n";
      socket.write(EVENTS.formatted(1) + chunk + "0\r\n\r\n");
    }
    RouterEvent event = nextEvent(RouterEvent.class);
    assertEquals(event instanceof UpstreamResponseStarted, continued);
    assertEquals(event instanceof UpstreamFailed, !continued);
  }

  private static String events(String numbers, String separator) {
    return Arrays.stream(numbers.split(","))
        .map(number -> "id: " + number + "\ndata: abcd\n\n")
        .collect(Collectors.joining(separator));
  }

  @DataProvider
  public Object[][] spoiltHeads() {
    String head = HEAD.formatted(1);
    return new Object[][] {
      {"\r\n" + PLAIN.formatted(1) + "seats"},
      {" " + PLAIN.formatted(1) + "seats"},
      {PLAIN.formatted(1).replace("1.1 ", "1.1\t") + "seats"},
      {PLAIN.formatted(1).replace("HTTP/1.1", "HTTP/2.7") + "seats"},
      {PLAIN.formatted(1).replace("200", "+200") + "seats"},
      {PLAIN.formatted(1).replace("200", "20") + "seats"},
      {PLAIN.formatted(1).replace("200", "2000") + "seats"},
      {PLAIN.formatted(1).replace("200", "101") + PLAIN.formatted(1) + "seats"},
      {head + "Content-Length : 5\r\n\r\nseats"},
      {head + "Content-Length: 5\r\nbad name: x\r\n\r\nseats"},
      {head + "Content-Length: 5\r\nname: x\r\n folded\r\n\r\nseats"},
      {head + "Content-Length: 5\r\nname\r\n\r\nseats"},
      {head + "Content-Length: 5\r\nname: \u0001\r\n\r\nseats"},
      {head + "Content-Length: 5\n\nseats"},
      {head + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nseats"},
      {head + "Content-Length: 5,5\r\n\r\nseats"},
      {head + "Content-Length: +5\r\n\r\nseats"},
      {head + "Content-Length: 5 5\r\n\r\nseats"},
      {head + "Content-Length: 99999999999999999999\r\n\r\nseats"},
      {head + "Content-Length: 5\r\n" + CHUNKED},
      {head + CHUNKED.replace("chunked", "gzip, chunked")},
      {head + CHUNKED.replace("chunked", "chunked, gzip")},
      {head + CHUNKED.replace("chunked", "chunkex")},
      {head + "Transfer-Encoding: chunked\r\n" + CHUNKED},
      {head + "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n\r\nseats"},
      {(head + CHUNKED).replace("HTTP/1.1", "HTTP/1.0")},
      {head + "Content-Length: 5\r\n"},
      {(head + CHUNKED).replace("200", "204")},
      {PLAIN.formatted(1).replace("200", "204") + "seats"},
      {EVENTS.formatted(1).replace("200", "204") + EVENT + "0\r\n\r\n"},
    };
  }

  @Test(dataProvider = "spoiltHeads")
  public void responseWithSpoiltHeadIsNotComplete(String response) {
    respond(response);
    assertTrue(awaitEnd() instanceof UpstreamFailed);
  }

  @DataProvider
  public Object[][] sound() {
    String head = HEAD.formatted(1);
    return new Object[][] {
      {head + CHUNKED},
      {head + CHUNKED.replace("chunked", "Chunked").replace("5\r\n", "005\r\n")},
      {head + CHUNKED.replace("0\r\n", "000;a;b=c ; d = \"e\\\"\\\\ f\"\r\n")},
      {head + "Trailer: Sum, Other\r\n" + CHUNKED.replace("0\r\n", "0\r\nsum: x y\r\n")},
      {PLAIN.formatted(1).replace(" OK", "") + "seats"},
      {PLAIN.formatted(1).replace(" OK", " Very\tgood é") + "seats"},
      {(head + "Connection: keep-alive\r\n\r\nseats").replace("HTTP/1.1", "HTTP/1.0")},
      {head + "\r\nseats"},
      {"HTTP/1.1 100 Continue\r\n\r\n" + head + CHUNKED},
      {head + "Name:\r\nOther:\tx y \t\r\nContent-Length:5\r\n\r\nseats"},
      {HEAD.formatted(1).replace("200", "204") + "\r\n"},
      {HEAD.formatted(1).replace("200", "204") + "Content-Length: 0\r\n\r\n"},
    };
  }

  /** Guards against a decoder that is stricter than the grammar. */
  @Test(dataProvider = "sound")
  public void unusualButSoundResponseIsComplete(String response) {
    respond(response);
    awaitCompletion();
    assertEquals(metrics.counter("upstreams.unsound-answers").getCount(), 0);
  }

  /** Writes a response and closes the connection cleanly. */
  private void respond(String response) {
    run(1);
    try (RawSocket socket = upstream.accept()) {
      socket.readUntil("body");
      socket.write(response);
    }
  }
}
