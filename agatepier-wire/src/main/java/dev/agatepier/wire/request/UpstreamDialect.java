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
   * <p>Every kind but {@link Own} ends the matter without a word to the caller.
   */
  sealed interface Judgement {

    /**
     * The answer to the attempt.
     *
     * @param head status and headers for the caller
     * @param events whether the body is a stream of events
     */
    record Own(ResponseHead head, boolean events) implements Judgement {}

    /**
     * The upstream did not run the attempt and never will.
     *
     * @param reason why
     */
    record NotRun(Reason reason) implements Judgement {}

    /** The answer belongs to another request and is to be dropped. */
    record Foreign() implements Judgement {}

    /**
     * The answer is none that an upstream in its right mind gives.
     *
     * @param flaw what is wrong with it, for logs
     */
    record Unsound(String flaw) implements Judgement {}
  }

  /** Returns the header fields for an attempt, without those that frame the body. */
  List<Header> headers(RunAttempt attempt);

  /** Judges the head of an answer. */
  Judgement judge(RunAttempt attempt, int status, List<Header> headers);
}
