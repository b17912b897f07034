package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.wire.request.FleetResponse;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.TimeUnit;

/** Writes the responses of one caller connection and closes it after the last one. */
final class ResponseWriter {

  /** Time that a caller has to close the connection after the final response. */
  private static final long LINGER_MILLIS = 1_000;

  private final Channel channel;
  private boolean closeAfterResponse;

  /** Whether the close of the connection marks the end of the response. */
  private boolean closeDelimited;

  ResponseWriter(Channel channel) {
    this.channel = channel;
  }

  /** Marks the next response as the last one of the connection. */
  void closeAfterNextResponse() {
    closeAfterResponse = true;
  }

  /** Returns whether the connection closes after the current or next response. */
  boolean closesConnection() {
    return closeAfterResponse;
  }

  /** Asks the caller for the body of its request. */
  void writeContinue() {
    channel.writeAndFlush(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
  }

  /** Writes the head of a response whose body follows in parts. */
  void startResponse(InFlightCall call, ResponseHead head) {
    boolean lengthKnown =
        call.headOnly
            || hasNoBody(head.status())
            || head.headers().stream().anyMatch(field -> field.name().equals("content-length"));
    closeDelimited = !lengthKnown && !call.chunksAllowed;
    closeAfterResponse |= !call.keepAlive || closeDelimited;
    if (closeDelimited) {
      resetOnClose(true);
    }
    HttpResponse response = toHttpResponse(head);
    if (!lengthKnown && call.chunksAllowed) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    channel.write(response, channel.voidPromise());
  }

  /** Writes and flushes a part of the body. */
  ChannelFuture writeContent(Bytes content) {
    return channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(content.array())));
  }

  /** Writes the end of a complete response. */
  ChannelFuture endResponse() {
    return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Writes a complete response that the router generated itself. */
  ChannelFuture writeFullResponse(
      FleetResponse fleetResponse, boolean headOnly, boolean keepAlive) {
    closeAfterResponse |= !keepAlive;
    HttpResponse response = toHttpResponse(fleetResponse.head());
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(fleetResponse.body().size()));
    channel.write(response, channel.voidPromise());
    if (fleetResponse.body().size() > 0 && !headOnly) {
      channel.write(
          new DefaultHttpContent(Unpooled.wrappedBuffer(fleetResponse.body().array())),
          channel.voidPromise());
    }
    return endResponse();
  }

  /**
   * Shuts down output and closes after {@link #LINGER_MILLIS}, so that the caller can read the
   * response: closing a socket with unread input resets the connection.
   */
  void lingerThenClose(ChannelFuture written) {
    written.addListener(
        done -> {
          if (closeDelimited && done.isSuccess()) {
            resetOnClose(false);
          }
          if (channel instanceof DuplexChannel duplex && duplex.isActive()) {
            duplex.shutdownOutput();
          }
          channel.config().setAutoRead(true);
          channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        });
  }

  /** A reset, also by the end of the process, tells an incomplete response from a complete one. */
  private void resetOnClose(boolean reset) {
    if (channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, reset ? 0 : -1);
    }
  }

  private HttpResponse toHttpResponse(ResponseHead head) {
    HttpResponse response =
        new DefaultHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(head.status()),
            DefaultHttpHeadersFactory.headersFactory().withValidation(false));
    for (Header header : head.headers()) {
      response.headers().add(header.name(), header.value());
    }
    if (closeAfterResponse) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return response;
  }

  private static boolean hasNoBody(int status) {
    return status == HttpResponseStatus.NO_CONTENT.code()
        || status == HttpResponseStatus.NOT_MODIFIED.code();
  }
}
