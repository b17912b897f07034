package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.wire.request.AcceptedCall;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;

/** One request on a caller's connection, from its head to the end of its answer. */
final class InFlightCall {

  final RequestId request;

  /** Name that the caller gave to its request. */
  final String label;

  /** What is asked for; empty if the request is refused. */
  final Optional<AcceptedCall> intake;

  /** Why the request is refused, once its body has been dropped. */
  final Optional<Reason> rejection;

  final boolean headOnly;
  final boolean keepAlive;
  final boolean chunksAllowed;

  /** The body as far as it has come. */
  final ByteBuf body;

  /** Whether the whole request has come. */
  boolean received;

  /** Whether the router was told of it. */
  boolean submitted;

  /** Whether its answer has begun. */
  boolean responseStarted;

  /** Bytes of the answer that the caller has taken and the router was not told of. */
  long unreportedBytes;

  InFlightCall(
      RequestId request,
      String label,
      Optional<AcceptedCall> intake,
      Optional<Reason> refusal,
      HttpRequest received,
      ByteBuf body) {
    this.request = request;
    this.label = label;
    this.intake = intake;
    this.rejection = refusal;
    this.headOnly = "HEAD".equals(received.method().name());
    this.keepAlive = HttpUtil.isKeepAlive(received);
    this.chunksAllowed = received.protocolVersion().equals(HttpVersion.HTTP_1_1);
    this.body = body;
  }
}
