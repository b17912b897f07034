package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.connection.CodecException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes requests and rejects ambiguous framing, which another server could interpret differently
 * (request smuggling). Bodies in chunks are decoded by {@link ChunkedBodyDecoder}, since the
 * decoder of Netty repairs spoilt chunk sizes and trailers. Pipelined requests stay encoded until
 * their turn: decoded, their heads take many times the memory.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  /** Maximum length of the request line, in bytes. */
  private static final int MAXIMUM_LINE_BYTES = 8_192;

  private final FieldCounter fields;
  private Gate gate = Gate.OPEN;
  private boolean decoding;
  private final int maximumTrailerBytes;

  /** Decodes the body of the current request if it is in chunks; otherwise null. */
  private ChunkedBodyDecoder chunks;

  /** What to do with the bytes received. */
  enum Gate {
    OPEN,
    /** They are kept until {@link #resume}. */
    CLOSED,
    DISCARDING
  }

  /** Creates the header collections of requests and knows the one that is being filled. */
  private static final class FieldCounter implements HttpHeadersFactory {
    private HttpHeaders filled = EmptyHttpHeaders.INSTANCE;

    @Override
    public HttpHeaders newHeaders() {
      filled = DefaultHttpHeadersFactory.headersFactory().newHeaders();
      return filled;
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return DefaultHttpHeadersFactory.headersFactory().newEmptyHeaders();
    }
  }

  StrictRequestDecoder(int maximumHeaderBytes) {
    this(maximumHeaderBytes, new FieldCounter());
  }

  private StrictRequestDecoder(int maximumHeaderBytes, FieldCounter fields) {
    super(strictConfiguration(maximumHeaderBytes).setHeadersFactory(fields));
    this.fields = fields;
    maximumTrailerBytes = maximumHeaderBytes;
  }

  private static HttpDecoderConfig strictConfiguration(int maximumHeaderBytes) {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
        .setMaxHeaderSize(maximumHeaderBytes)
        .setAllowDuplicateContentLengths(false)
        .setStrictLineParsing(true)
        .setUseRfc9112TransferEncoding(true);
  }

  void setGate(Gate gate) {
    this.gate = gate;
  }

  /** Returns whether received bytes are kept. */
  boolean isClosed() {
    return gate == Gate.CLOSED;
  }

  /** Returns the number of fields of the head that is being decoded. */
  int fieldCount() {
    return fields.filled.size();
  }

  /** Drops the reference to the fields of a complete head, which may take much memory. */
  void forgetHead() {
    fields.filled = EmptyHttpHeaders.INSTANCE;
  }

  /** Returns the number of bytes that were received and not decoded. */
  int undecodedBytes() {
    return actualReadableBytes();
  }

  /** Returns the size of the buffer that holds the bytes not decoded. */
  int bufferBytes() {
    return actualReadableBytes() == 0 ? 0 : internalBuffer().capacity();
  }

  /** Opens the gate and decodes what was kept. */
  void resume(ChannelHandlerContext ctx) throws Exception {
    gate = Gate.OPEN;
    if (!decoding && actualReadableBytes() > 0) {
      channelRead(ctx, Unpooled.EMPTY_BUFFER);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    boolean nested = decoding;
    decoding = true;
    try {
      super.channelRead(ctx, message);
    } finally {
      decoding = nested;
    }
  }

  /**
   * While the gate is closed, nothing more is read than the channel reads by itself: the decoder of
   * Netty asks for another read, also without auto-read, after bytes that led to no message.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
    if (gate == Gate.CLOSED) {
      ctx.fireChannelReadComplete();
    } else {
      super.channelReadComplete(ctx);
    }
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> output)
      throws Exception {
    if (gate == Gate.OPEN && chunks != null) {
      decodeChunks(input, output);
    } else if (gate == Gate.OPEN) {
      super.decode(ctx, input, output);
      if (!output.isEmpty() && output.getLast() instanceof HttpRequest request) {
        startBody(request);
      }
    } else if (gate == Gate.DISCARDING) {
      input.skipBytes(input.readableBytes());
    }
  }

  private void startBody(HttpRequest request) {
    if (request.decoderResult().isSuccess() && HttpUtil.isTransferEncodingChunked(request)) {
      chunks = new ChunkedBodyDecoder(maximumTrailerBytes, name -> true);
    }
  }

  private void decodeChunks(ByteBuf input, List<Object> output) {
    try {
      if (chunks.decode(input, output)) {
        chunks = null;
        reset();
      }
    } catch (CodecException flaw) {
      input.skipBytes(input.readableBytes());
      LastHttpContent failure = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
      failure.setDecoderResult(DecoderResult.failure(flaw));
      output.add(failure);
    }
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    for (String coding : message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)) {
      if (!HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding)) {
        throw new IllegalArgumentException("unsupported transfer coding of a request: " + coding);
      }
    }
    return super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "request has both a content length and chunked transfer coding");
  }
}
