package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallPlan;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.wire.connection.internal.EventStreamSplitter.Numbering;
import dev.agatepier.wire.request.UpstreamDialect.Classification;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One attempt on an upstream connection, from the request to the end of the response. Event streams
 * are forwarded in complete events, other responses only once they are complete.
 */
final class AttemptExchange {

  /** Maximum size of a response that is buffered until it is complete, in bytes. */
  private static final int MAXIMUM_BUFFERED_BYTES = 8 * 1024 * 1024;

  private final RunAttempt attempt;
  private final int tokensPerEvent;
  private final Consumer<RouterEvent> events;
  private final EventNumbers numbers;
  private final EventStreamSplitter splitter;
  private BodyBuffer buffered = new BodyBuffer(0, MAXIMUM_BUFFERED_BYTES);
  private Optional<Classification.Matched> response = Optional.empty();
  private boolean headEmitted;
  private boolean ended;
  private long window;

  /** Creates the exchange before its request is sent. */
  AttemptExchange(
      RunAttempt attempt, int tokensPerEvent, EventNumbers numbers, Consumer<RouterEvent> events) {
    this.attempt = attempt;
    this.tokensPerEvent = tokensPerEvent;
    this.numbers = numbers;
    this.events = events;
    this.splitter =
        new EventStreamSplitter(
            attempt.resumeAfter().orElse(EventStreamSplitter.NO_NUMBER), numbering(attempt.plan()));
    this.window = attempt.windowBytes();
  }

  RunAttempt attempt() {
    return attempt;
  }

  AttemptId id() {
    return attempt.attempt();
  }

  RequestId request() {
    return id().request();
  }

  /** Returns the numbers of the events that were forwarded. */
  EventNumbers numbers() {
    return numbers;
  }

  /** Returns whether the head of the response has been received. */
  boolean responseStarted() {
    return response.isPresent();
  }

  /** Returns whether the end of the attempt has been reported to the router. */
  boolean ended() {
    return ended;
  }

  /** Returns the bytes of memory that wait here for the rest of the response or event. */
  long bufferedBytes() {
    return buffered.capacity() + splitter.bufferedBytes();
  }

  /** Returns whether flow-control credit is left to read more of the response. */
  boolean canRead() {
    return window > 0;
  }

  /** Adds flow-control credit in bytes. */
  void addCredit(long bytes) {
    window += bytes;
  }

  /**
   * Stores the head; it is emitted with the first content or at the end.
   *
   * @param declaredBytes length of the content that the head states; 0 if it states none
   */
  void onResponseHead(Classification.Matched matched, long declaredBytes) {
    response = Optional.of(matched);
    buffered =
        new BodyBuffer(Math.min(MAXIMUM_BUFFERED_BYTES, declaredBytes), MAXIMUM_BUFFERED_BYTES);
  }

  /**
   * Forwards complete events, or buffers the content of any other response. From an unsound event
   * on, the events of a stream are not forwarded.
   */
  void onResponseContent(ByteBuf bytes) {
    if (ended || response.isEmpty()) {
      return;
    }
    if (!response.get().eventStream()) {
      buffered.append(bytes);
      if (buffered.size() > MAXIMUM_BUFFERED_BYTES) {
        fail(Reason.ANSWER_INCOMPLETE);
      }
      return;
    }
    splitter.append(bytes).ifPresent(this::emitEvents);
    if (splitter.exceedsMaximumEventSize()) {
      fail(Reason.ANSWER_INCOMPLETE);
    }
  }

  /** Returns whether an event of the stream has no number above those before it. */
  boolean hasUnsoundEvent() {
    return splitter.isUnsound();
  }

  /**
   * Completes a response whose framing marks its end.
   *
   * @return whether the attempt ended with a complete response
   */
  boolean onResponseEnded() {
    if (ended) {
      return false;
    }
    Classification.Matched matched = response.orElseThrow();
    if (matched.eventStream()) {
      if (splitter.hasPartialEvent()) {
        fail(Reason.ANSWER_INCOMPLETE);
        return false;
      }
      splitter.end().ifPresent(this::emitEvents);
      emitHead(matched.head());
    } else {
      emitHead(withContentLength(matched.head(), buffered.size()));
      if (buffered.size() > 0) {
        Bytes content = buffered.take();
        events.accept(
            new RouterEvent.UpstreamResponseData(
                id(), content, EventStreamSplitter.NO_NUMBER, EventStreamSplitter.NO_NUMBER, 0));
      }
    }
    ended = true;
    events.accept(new RouterEvent.UpstreamResponseCompleted(id()));
    return true;
  }

  /** Ends the attempt as not run. */
  void notRun(Reason reason, boolean rejectedByUpstream) {
    if (!ended) {
      ended = true;
      events.accept(new RouterEvent.UpstreamNotRun(id(), reason, rejectedByUpstream));
    }
  }

  /** Ends the attempt as failed: it may have run, but its response is incomplete. */
  void fail(Reason reason) {
    if (!ended) {
      ended = true;
      events.accept(new RouterEvent.UpstreamFailed(id(), reason));
    }
  }

  private static Numbering numbering(CallPlan plan) {
    if (!plan.streaming()) {
      return Numbering.OPTIONAL;
    }
    return plan.resumable() ? Numbering.CONFIRMED : Numbering.REQUIRED;
  }

  private void emitEvents(EventStreamSplitter.Events complete) {
    emitHead(response.orElseThrow().head());
    window -= complete.content().size();
    numbers.record(complete.firstNumber(), complete.lastNumber(), splitter.gaps());
    events.accept(
        new RouterEvent.UpstreamResponseData(
            id(),
            complete.content(),
            complete.firstNumber(),
            complete.lastNumber(),
            complete.count() * tokensPerEvent));
  }

  private void emitHead(ResponseHead head) {
    if (!headEmitted) {
      headEmitted = true;
      events.accept(
          new RouterEvent.UpstreamResponseStarted(
              id(), head, response.orElseThrow().eventStream()));
    }
  }

  /** Returns the head with its content length set to the length of the body. */
  private static ResponseHead withContentLength(ResponseHead head, int length) {
    List<Header> headers = new ArrayList<>(head.headers());
    headers.removeIf(header -> header.name().equals("content-length"));
    headers.add(new Header("content-length", Integer.toString(length)));
    return new ResponseHead(head.status(), headers);
  }
}
