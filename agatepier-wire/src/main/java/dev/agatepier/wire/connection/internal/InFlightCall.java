package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.wire.request.AcceptedCall;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;

/** One request on a caller connection, from its head to the end of its response. */
final class InFlightCall {

  final RequestId request;

  /** Request name given by the caller. */
  final String label;

  /** The accepted request; empty if it is rejected. */
  final Optional<AcceptedCall> acceptedCall;

  /** Reason to reject the request with after its body has been read and discarded. */
  final Optional<Reason> rejection;

  final boolean headOnly;
  final boolean keepAlive;
  final boolean chunksAllowed;

  /** The part of the body received so far. */
  final ByteBuf body;

  /** Whether the complete request has been received. */
  boolean received;

  /** Whether the request was submitted to the router. */
  boolean submitted;

  /** Whether the response has started. */
  boolean responseStarted;

  /** Response bytes written to the caller and not yet reported to the router. */
  long unreportedBytes;

  InFlightCall(
      RequestId request,
      String label,
      Optional<AcceptedCall> acceptedCall,
      Optional<Reason> rejection,
      HttpRequest httpRequest,
      ByteBuf body) {
    this.request = request;
    this.label = label;
    this.acceptedCall = acceptedCall;
    this.rejection = rejection;
    this.headOnly = "HEAD".equals(httpRequest.method().name());
    this.keepAlive = HttpUtil.isKeepAlive(httpRequest);
    this.chunksAllowed = httpRequest.protocolVersion().equals(HttpVersion.HTTP_1_1);
    this.body = body;
  }
}
