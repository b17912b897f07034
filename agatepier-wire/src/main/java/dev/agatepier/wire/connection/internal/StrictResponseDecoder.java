package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.connection.CodecException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decodes the responses of an upstream and fails at the first byte that does not follow the grammar
 * of RFC 9112. What its lenient rules for recipients repair may be spoilt bytes, which would then
 * count as the end of a complete response. After a failure, nothing more is decoded.
 */
final class StrictResponseDecoder extends ByteToMessageDecoder {

  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.([01]) ([0-9]{3})(?: .*+)?+", Pattern.DOTALL);
  private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");

  private final int maximumHeadBytes;
  private final HttpLines lines = new HttpLines();
  private State state = State.STATUS_LINE;
  private boolean bodyExpected = true;
  private HttpResponse head;
  private int headBytes;
  private long remainingBytes;
  private ChunkedBodyDecoder chunks;

  /** What the next bytes are. */
  private enum State {
    STATUS_LINE,
    FIELDS,
    CONTENT_WITH_LENGTH,
    CONTENT_IN_CHUNKS,
    CONTENT_UNTIL_CLOSE,
    FAILED
  }

  /**
   * Creates the decoder of a connection.
   *
   * @param maximumHeadBytes maximum length of a head, and of a trailer section
   */
  StrictResponseDecoder(int maximumHeadBytes) {
    this.maximumHeadBytes = maximumHeadBytes;
  }

  /** Called before a request is sent. */
  void onRequest(HttpMethod method) {
    bodyExpected = !method.equals(HttpMethod.HEAD);
  }

  /** Returns whether no byte was received behind the last response. */
  boolean isBetweenResponses() {
    return state == State.STATUS_LINE && actualReadableBytes() == 0;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> output) {
    try {
      switch (state) {
        case STATUS_LINE -> readStatusLine(input);
        case FIELDS -> readField(input, output);
        case CONTENT_WITH_LENGTH -> readContent(input, output);
        case CONTENT_IN_CHUNKS -> {
          if (chunks.decode(input, output)) {
            state = State.STATUS_LINE;
          }
        }
        case CONTENT_UNTIL_CLOSE ->
            output.add(new DefaultHttpContent(input.readRetainedSlice(input.readableBytes())));
        default -> input.skipBytes(input.readableBytes());
      }
    } catch (CodecException flaw) {
      input.skipBytes(input.readableBytes());
      fail(output, flaw);
    }
  }

  @Override
  protected void decodeLast(ChannelHandlerContext ctx, ByteBuf input, List<Object> output)
      throws Exception {
    if (input.isReadable()) {
      super.decodeLast(ctx, input, output);
    }
    if (state == State.CONTENT_UNTIL_CLOSE) {
      state = State.STATUS_LINE;
      output.add(LastHttpContent.EMPTY_LAST_CONTENT);
    } else if (state == State.FIELDS) {
      fail(output, new CodecException("connection closed within the head"));
    }
  }

  private void fail(List<Object> output, CodecException flaw) {
    state = State.FAILED;
    LastHttpContent failure = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
    failure.setDecoderResult(DecoderResult.failure(flaw));
    output.add(failure);
  }

  private void readStatusLine(ByteBuf input) {
    String line = lines.read(input, maximumHeadBytes);
    if (line == null) {
      return;
    }
    Matcher matcher = STATUS_LINE.matcher(line);
    if (!matcher.matches()) {
      throw new CodecException("the status line is malformed");
    }
    head =
        new DefaultHttpResponse(
            matcher.group(1).equals("0") ? HttpVersion.HTTP_1_0 : HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(Integer.parseInt(matcher.group(2))),
            DefaultHttpHeadersFactory.headersFactory().withValidation(false));
    headBytes = line.length();
    state = State.FIELDS;
  }

  private void readField(ByteBuf input, List<Object> output) {
    String line = lines.read(input, maximumHeadBytes - headBytes);
    if (line == null) {
      return;
    }
    if (!line.isEmpty()) {
      HttpLines.Field field = HttpLines.field(line);
      headBytes += line.length();
      head.headers().add(field.name(), field.value());
      return;
    }
    startContent();
    output.add(head);
    head = null;
    if (state == State.STATUS_LINE) {
      output.add(LastHttpContent.EMPTY_LAST_CONTENT);
    }
  }

  /** Chooses what follows the head. */
  private void startContent() {
    HttpHeaders headers = head.headers();
    List<String> codings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    if (head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      throw new CodecException("the protocol is switched without a request for it");
    }
    if (!codings.isEmpty()) {
      checkCodings(codings, lengths);
    }
    long length = lengths.isEmpty() ? -1 : parseLength(lengths);
    if (head.status().equals(HttpResponseStatus.NO_CONTENT) && (length > 0 || !codings.isEmpty())) {
      throw new CodecException("a response without content announces content");
    }
    if (!bodyExpected || hasNoBody(head.status())) {
      state = State.STATUS_LINE;
    } else if (!codings.isEmpty()) {
      Set<String> announced = announcedTrailers(headers);
      chunks = new ChunkedBodyDecoder(maximumHeadBytes, announced::contains);
      state = State.CONTENT_IN_CHUNKS;
    } else if (length < 0) {
      state = State.CONTENT_UNTIL_CLOSE;
    } else {
      remainingBytes = length;
      state = length == 0 ? State.STATUS_LINE : State.CONTENT_WITH_LENGTH;
    }
  }

  private void checkCodings(List<String> codings, List<String> lengths) {
    if (codings.size() > 1 || !codings.getFirst().equalsIgnoreCase("chunked")) {
      throw new CodecException("unsupported transfer coding");
    }
    if (!lengths.isEmpty()) {
      throw new CodecException("both a content length and a transfer coding");
    }
    if (head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
      throw new CodecException("a transfer coding in HTTP/1.0");
    }
  }

  private static long parseLength(List<String> lengths) {
    if (lengths.size() > 1 || !LENGTH.matcher(lengths.getFirst()).matches()) {
      throw new CodecException("the content length is malformed or repeated");
    }
    return Long.parseLong(lengths.getFirst());
  }

  private static boolean hasNoBody(HttpResponseStatus status) {
    return status.codeClass() == HttpStatusClass.INFORMATIONAL
        || status.equals(HttpResponseStatus.NO_CONTENT)
        || status.equals(HttpResponseStatus.NOT_MODIFIED);
  }

  private static Set<String> announcedTrailers(HttpHeaders headers) {
    Set<String> announced = new HashSet<>();
    for (String names : headers.getAll(HttpHeaderNames.TRAILER)) {
      for (String name : names.split(",")) {
        announced.add(name.strip().toLowerCase(Locale.ROOT));
      }
    }
    return announced;
  }

  private void readContent(ByteBuf input, List<Object> output) {
    int size = (int) Math.min(remainingBytes, input.readableBytes());
    ByteBuf content = input.readRetainedSlice(size);
    remainingBytes -= size;
    if (remainingBytes == 0) {
      state = State.STATUS_LINE;
      output.add(new DefaultLastHttpContent(content));
    } else {
      output.add(new DefaultHttpContent(content));
    }
  }
}
