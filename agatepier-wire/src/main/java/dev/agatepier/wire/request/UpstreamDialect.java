package dev.agatepier.wire.request;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.UpstreamLoadReport;
import dev.agatepier.core.request.UpstreamNotice;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The protocol that upstreams use: builds the header fields of an attempt and interprets the heads
 * of responses.
 */
public interface UpstreamDialect {

  /**
   * Meaning of the head of an upstream's response.
   *
   * <p>Nothing of the response is forwarded to the caller unless it is {@link Matched}.
   */
  sealed interface Classification {

    /**
     * The response to the attempt.
     *
     * @param head status and headers for the caller
     * @param eventStream whether the body is an event stream
     */
    record Matched(ResponseHead head, boolean eventStream) implements Classification {}

    /**
     * The upstream did not run the attempt and never will.
     *
     * @param reason why it did not run
     * @param identified whether the response names the request; otherwise it may be a repeated
     *     response to an earlier one on the same connection
     */
    record NotRun(Reason reason, boolean identified) implements Classification {}

    /** The response belongs to another request and must be discarded. */
    record Mismatched() implements Classification {}

    /**
     * The response violates the protocol.
     *
     * @param detail description of the violation, for logs
     */
    record Malformed(String detail) implements Classification {}
  }

  /**
   * What the head of a response says of further requests to its upstream.
   *
   * @param content what it says
   * @param ignored description of a field that could not be understood, for logs; empty for none
   */
  record Notice(UpstreamNotice content, String ignored) {

    /** A head that says nothing. */
    public static final Notice NONE = new Notice(UpstreamNotice.NONE, "");
  }

  /** Load that the head of a response states. */
  sealed interface LoadStatement {

    /** The head states no load. */
    record Absent() implements LoadStatement {}

    /**
     * The head states a load.
     *
     * @param report the load
     */
    record Stated(UpstreamLoadReport report) implements LoadStatement {}

    /** The head states a load that cannot be read. */
    record Unreadable() implements LoadStatement {}
  }

  /** Returns the header fields of an attempt, without those for message framing. */
  List<Header> headers(RunAttempt attempt);

  /** Classifies a response to the attempt by its status and header fields. */
  Classification classifyResponse(RunAttempt attempt, int status, List<Header> headers);

  /**
   * Returns what a response to the attempt says of further requests to its upstream; nothing if the
   * response belongs to another request or is malformed.
   */
  default Notice notice(RunAttempt attempt, int status, List<Header> headers) {
    return Notice.NONE;
  }

  /**
   * Returns the request that asks an upstream for the incarnation of its process; empty if the
   * protocol has none. It has no body and may be sent at any time.
   */
  default Optional<CallHead> incarnationRequest(Upstream upstream) {
    return Optional.empty();
  }

  /** Returns the incarnation that a response to that request states; empty if it states none. */
  default OptionalLong readIncarnation(int status, Bytes body) {
    return OptionalLong.empty();
  }

  /** Reads the load that the header fields of a response state. */
  LoadStatement readLoad(List<Header> headers);
}
