package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.wire.request.AcceptedCall;
import dev.agatepier.wire.request.CallRejectedException;
import dev.agatepier.wire.request.HeaderFields;
import dev.agatepier.wire.request.ReceivedHead;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;

/** One request on a caller connection, from its head to the end of its response. */
final class InFlightCall {

  /** Number of written response bytes after which they are reported to the router as consumed. */
  private static final int CONSUMED_REPORT_BYTES = 16_384;

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
  final BodyBuffer body;

  /** Bytes of a body that count in the budget of memory. */
  long reservedBytes;

  /** Bytes of the body received so far. */
  long contentBytes;

  /** Bytes of the request's head. */
  final long headBytes;

  /** Whether the complete request has been received. */
  boolean received;

  /** Whether the request was submitted to the router. */
  boolean submitted;

  /** Whether the response has started. */
  boolean responseStarted;

  /** Response bytes written to the caller and not yet reported to the router. */
  private long unreportedBytes;

  private InFlightCall(
      RequestId request,
      String label,
      Optional<AcceptedCall> acceptedCall,
      Optional<Reason> rejection,
      HttpRequest httpRequest,
      long headBytes,
      int maximumBodyBytes) {
    this.request = request;
    this.label = label;
    this.acceptedCall = acceptedCall;
    this.rejection = rejection;
    this.headOnly = "HEAD".equals(httpRequest.method().name());
    this.keepAlive = HttpUtil.isKeepAlive(httpRequest);
    this.chunksAllowed = httpRequest.protocolVersion().equals(HttpVersion.HTTP_1_1);
    this.body = new BodyBuffer(HttpUtil.getContentLength(httpRequest, 0L), maximumBodyBytes);
    this.headBytes = headBytes;
    this.reservedBytes = this.body.declaredBytes();
  }

  /**
   * Creates the call of a received head, accepted or to be rejected.
   *
   * @param headBytes size of the head, in bytes
   */
  static InFlightCall of(CallerPortContext context, HttpRequest httpRequest, long headBytes) {
    ReceivedHead head =
        new ReceivedHead(
            httpRequest.method().name(), httpRequest.uri(), HeaderFields.of(httpRequest.headers()));
    Optional<AcceptedCall> acceptedCall = Optional.empty();
    Optional<Reason> rejection = Optional.empty();
    try {
      acceptedCall = Optional.of(context.dialect().accept(head, context.clock().nanoTime()));
    } catch (CallRejectedException rejected) {
      rejection = Optional.of(rejected.reason());
    }
    return new InFlightCall(
        context.nextRequestId(),
        context.dialect().label(head),
        acceptedCall,
        rejection,
        httpRequest,
        headBytes,
        context.dialect().bounds().bodyBytes());
  }

  /** Adds written response bytes; returns how many are to be reported as consumed, or 0. */
  long takeConsumed(int bytes) {
    unreportedBytes += bytes;
    long consumed = unreportedBytes >= CONSUMED_REPORT_BYTES ? unreportedBytes : 0;
    unreportedBytes -= consumed;
    return consumed;
  }
}
