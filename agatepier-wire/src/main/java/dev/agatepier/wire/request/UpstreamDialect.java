package dev.agatepier.wire.request;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import java.util.List;

/** How upstreams speak: what they are told of an attempt, and what the heads of answers mean. */
public interface UpstreamDialect {

  /**
   * What the head of an upstream's answer says.
   *
   * <p>Every kind but {@link Matched} ends the matter without a word to the caller.
   */
  sealed interface Classification {

    /**
     * The answer to the attempt.
     *
     * @param head status and headers for the caller
     * @param eventStream whether the body is a stream of events
     */
    record Matched(ResponseHead head, boolean eventStream) implements Classification {}

    /**
     * The upstream did not run the attempt and never will.
     *
     * @param reason why
     */
    record NotRun(Reason reason) implements Classification {}

    /** The answer belongs to another request and is to be dropped. */
    record Mismatched() implements Classification {}

    /**
     * The answer is none that an upstream in its right mind gives.
     *
     * @param detail what is wrong with it, for logs
     */
    record Malformed(String detail) implements Classification {}
  }

  /** Returns the header fields for an attempt, without those that frame the body. */
  List<Header> headers(RunAttempt attempt);

  /** Judges the head of an answer. */
  Classification classifyResponse(RunAttempt attempt, int status, List<Header> headers);
}
