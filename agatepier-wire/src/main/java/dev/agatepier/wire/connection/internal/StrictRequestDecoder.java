package dev.agatepier.wire.connection.internal;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects ambiguous framing, which another server could interpret differently
 * (request smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

  /** Maximum length of the request line, in bytes. */
  private static final int MAXIMUM_LINE_BYTES = 8_192;

  StrictRequestDecoder(int maximumHeaderBytes) {
    super(strictConfiguration(maximumHeaderBytes));
  }

  /** Returns a configuration with strict parsing. */
  static HttpDecoderConfig strictConfiguration(int maximumHeaderBytes) {
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
