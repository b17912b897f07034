package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.wire.request.FleetResponse;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;
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

/** Writes the answers of one caller's connection, and closes it behind the last one. */
final class ResponseWriter {

  /** How long a caller may take to end a connection after an answer that closes it. */
  private static final long LINGER_MILLIS = 1_000;

  private final Channel channel;
  private boolean closing;

  ResponseWriter(Channel channel) {
    this.channel = channel;
  }

  /** Has the next answer say that the connection ends with it. */
  void closeAfterNextResponse() {
    closing = true;
  }

  /** Returns whether the connection ends with the answer written last or next. */
  boolean closesConnection() {
    return closing;
  }

  /** Begins an answer whose body follows in parts. */
  void startResponse(InFlightCall call, ResponseHead head) {
    boolean framed =
        bodiless(head.status())
            || head.headers().stream().anyMatch(field -> field.name().equals("content-length"));
    closing |= !call.keepAlive || (!framed && !call.chunksAllowed);
    HttpResponse response = response(head);
    if (!framed && call.chunksAllowed) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
    channel.write(response, channel.voidPromise());
  }

  /** Continues an answer. */
  ChannelFuture writeContent(Bytes content) {
    return channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(content.array())));
  }

  /** Ends an answer as whole. */
  ChannelFuture endResponse() {
    return channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Writes a whole answer of the fleet's own. */
  ChannelFuture writeFullResponse(FleetResponse answer, boolean headOnly, boolean keepAlive) {
    closing |= !keepAlive;
    HttpResponse response = response(answer.head());
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(answer.body().size()));
    channel.write(response, channel.voidPromise());
    if (answer.body().size() > 0 && !headOnly) {
      channel.write(
          new DefaultHttpContent(Unpooled.wrappedBuffer(answer.body().array())),
          channel.voidPromise());
    }
    return endResponse();
  }

  /** Lets the caller read the answer: closing with unread bytes would reset the connection. */
  void lingerThenClose(ChannelFuture written) {
    written.addListener(
        done -> {
          if (channel instanceof DuplexChannel duplex && duplex.isActive()) {
            duplex.shutdownOutput();
          }
          channel.config().setAutoRead(true);
          channel.eventLoop().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        });
  }

  private HttpResponse response(ResponseHead head) {
    HttpResponse response =
        new DefaultHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(head.status()),
            DefaultHttpHeadersFactory.headersFactory().withValidation(false));
    for (Header header : head.headers()) {
      response.headers().add(header.name(), header.value());
    }
    if (closing) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return response;
  }

  private static boolean bodiless(int status) {
    return status == HttpResponseStatus.NO_CONTENT.code()
        || status == HttpResponseStatus.NOT_MODIFIED.code();
  }
}
