package dev.agatepier.wire.connection.internal;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.annotations.Test;

public class StrictResponseDecoderTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String BODY =
      "10\r\nid: 1\ndata: ab\n\n\r\nf\r\nid: 2\r\na: b\r\n\r\n\r\n9\r\nid: 3\nd\n\n\r\n0\r\n\r\n";
  private static final int CONTENT_BYTES = 0x10 + 0xf + 9;

  /** Guards against a spoilt byte of a body that makes its beginning look like all of it. */
  @Test
  public void noSpoiltByteMakesBodyLookCompleteAndShorter() {
    for (int index = 0; index < BODY.length(); index++) {
      String before = HEAD + BODY.substring(0, index);
      String after = BODY.substring(index + 1);
      assertNotCut(before + after);
      for (char spoilt = 0; spoilt < 256; spoilt++) {
        assertNotCut(before + spoilt + after);
        assertNotCut(before + spoilt + BODY.charAt(index) + after);
      }
    }
  }

  @Test
  public void decodesTheSameInParts() {
    String response = HEAD + BODY;
    for (int size = 1; size <= response.length(); size++) {
      assertEquals(decode(response, size), Optional.of(CONTENT_BYTES), "parts of " + size);
    }
  }

  private static void assertNotCut(String response) {
    Optional<Integer> contentBytes = decode(response, response.length());
    assertTrue(contentBytes.isEmpty() || contentBytes.get() >= CONTENT_BYTES, response);
  }

  /** Returns the length of the content of a response if it counts as complete. */
  private static Optional<Integer> decode(String response, int partSize) {
    EmbeddedChannel channel = new EmbeddedChannel(new StrictResponseDecoder(1_024));
    byte[] bytes = response.getBytes(StandardCharsets.ISO_8859_1);
    for (int from = 0; from < bytes.length; from += partSize) {
      int size = Math.min(partSize, bytes.length - from);
      channel.writeInbound(Unpooled.wrappedBuffer(bytes, from, size));
    }
    Optional<Integer> complete = Optional.empty();
    int contentBytes = 0;
    for (HttpObject part = channel.readInbound(); part != null; part = channel.readInbound()) {
      contentBytes += part instanceof HttpContent content ? content.content().readableBytes() : 0;
      if (part instanceof LastHttpContent && part.decoderResult().isSuccess()) {
        complete = Optional.of(contentBytes);
      }
      ReferenceCountUtil.release(part);
    }
    channel.finishAndReleaseAll();
    return complete;
  }
}
