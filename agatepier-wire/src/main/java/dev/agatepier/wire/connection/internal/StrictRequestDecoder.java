package dev.agatepier.wire.connection.internal;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and refuses every framing that another server could read otherwise. */
final class StrictRequestDecoder extends HttpRequestDecoder {

  /** Longest request line, in bytes. */
  private static final int MAXIMUM_LINE_BYTES = 8_192;

  StrictRequestDecoder(int maximumHeaderBytes) {
    super(configuration(maximumHeaderBytes));
  }

  /** Returns a configuration without any leniency. */
  static HttpDecoderConfig configuration(int maximumHeaderBytes) {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
        .setMaxHeaderSize(maximumHeaderBytes)
        .setAllowDuplicateContentLengths(false)
        .setStrictLineParsing(true)
        .setUseRfc9112TransferEncoding(true);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    for (String coding : message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)) {
      if (!HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding)) {
        throw new IllegalArgumentException("a request has the transfer coding " + coding);
      }
    }
    return super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("a request has both a length and chunks");
  }
}
