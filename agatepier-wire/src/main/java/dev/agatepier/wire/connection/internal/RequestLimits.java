package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.request.Reason;
import dev.agatepier.core.version.CallerBounds;
import dev.agatepier.wire.process.LimitSettings;
import dev.agatepier.wire.request.AcceptedCall;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Optional;

/** Checks the request that a connection receives against the limits and the memory budget. */
final class RequestLimits {

  /** Bytes of framing for each byte of content in the smallest chunks, rounded up. */
  private static final long CHUNK_OVERHEAD_FACTOR = 8;

  private final LimitSettings limits;
  private final ConnectionMemory memory;
  private final LimitIncidents incidents;

  /**
   * Creates the checks of one connection.
   *
   * @param memory what is held for the connection
   * @param incidents records the requests that exceed a limit of the process
   */
  RequestLimits(LimitSettings limits, ConnectionMemory memory, LimitIncidents incidents) {
    this.limits = limits;
    this.memory = memory;
    this.incidents = incidents;
  }

  /** Returns why a request that cannot be decoded is rejected. */
  static Reason reasonOf(Throwable cause) {
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    return tooLong ? Reason.HEAD_TOO_LARGE : Reason.BAD_REQUEST;
  }

  /**
   * Checks a complete head and reserves memory for the request; returns why it is rejected.
   *
   * @param fields number of fields of the head
   */
  Optional<Reason> checkHead(InFlightCall call, CallerBounds bounds, int fields) {
    if (call.body.declaredBytes() > bounds.bodyBytes()) {
      return Optional.of(Reason.BODY_TOO_LARGE);
    }
    if (fields > limits.headerFields()) {
      return exceeded(CallerLimit.HEADER_FIELDS, Reason.HEAD_TOO_LARGE);
    }
    long bytes = ConnectionMemory.headCost(call.headBytes, fields) + call.reservedBytes;
    boolean reserved = call.rejection.isPresent() || reserve(call, bytes);
    return reserved ? Optional.empty() : exceeded(CallerLimit.MEMORY_REJECTED, Reason.OVERLOADED);
  }

  /**
   * Checks what was received of the body, and reserves memory for it if its head did not; returns
   * why the request is rejected.
   *
   * @param decodedBytes bytes of the request that have been decoded, with head and framing
   */
  Optional<Reason> checkBody(InFlightCall call, CallerBounds bounds, long decodedBytes) {
    if (call.contentBytes > bounds.bodyBytes()) {
      return Optional.of(Reason.BODY_TOO_LARGE);
    }
    long framing = decodedBytes - call.headBytes - call.contentBytes;
    if (framing > CHUNK_OVERHEAD_FACTOR * call.contentBytes + limits.chunkOverheadBytes()) {
      return exceeded(CallerLimit.CHUNK_OVERHEAD, Reason.BAD_REQUEST);
    }
    long added = call.body.capacity() - call.reservedBytes;
    if (added <= 0) {
      return Optional.empty();
    }
    call.reservedBytes += added;
    return reserve(call, added)
        ? Optional.empty()
        : exceeded(CallerLimit.MEMORY_REJECTED, Reason.OVERLOADED);
  }

  private Optional<Reason> exceeded(CallerLimit limit, Reason reason) {
    incidents.record(limit, memory.address());
    return Optional.of(reason);
  }

  private boolean reserve(InFlightCall call, long bytes) {
    return memory.tryReserve(call.acceptedCall.map(AcceptedCall::workspace).orElse(""), bytes);
  }
}
