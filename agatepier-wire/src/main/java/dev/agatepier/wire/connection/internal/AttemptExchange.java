package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.process.RouterEvent;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.wire.request.UpstreamDialect.Classification;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One attempt on a connection to an upstream, from the request to the end of the answer. Streams of
 * events are passed on in whole events, other answers only once they are whole.
 */
final class AttemptExchange {

  /** Longest answer that is held back until it is whole, in bytes. */
  private static final int MAXIMUM_HELD_BYTES = 8 * 1024 * 1024;

  private final RunAttempt attempt;
  private final int tokensPerEvent;
  private final Consumer<RouterEvent> events;
  private final EventStreamSplitter splitter = new EventStreamSplitter();
  private final ByteBuf held = Unpooled.buffer(0);
  private Optional<Classification.Matched> answer = Optional.empty();
  private boolean headTold;
  private boolean ended;
  private long window;

  /** Creates the exchange of an attempt that is about to be sent. */
  AttemptExchange(RunAttempt attempt, int tokensPerEvent, Consumer<RouterEvent> events) {
    this.attempt = attempt;
    this.tokensPerEvent = tokensPerEvent;
    this.events = events;
    this.window = attempt.windowBytes();
  }

  RunAttempt attempt() {
    return attempt;
  }

  AttemptId id() {
    return attempt.attempt();
  }

  /** Returns whether the answer's head has come. */
  boolean responseStarted() {
    return answer.isPresent();
  }

  /** Returns whether the router has been told the end. */
  boolean ended() {
    return ended;
  }

  /** Returns whether more of the answer may be read. */
  boolean canRead() {
    return window > 0;
  }

  /** Lets more of the answer be read. */
  void addCredit(long bytes) {
    window += bytes;
  }

  /** Takes the head of the answer. */
  void onResponseHead(Classification.Matched own) {
    answer = Optional.of(own);
  }

  /** Takes part of the body. */
  void onResponseContent(ByteBuf bytes) {
    if (ended || answer.isEmpty()) {
      return;
    }
    if (!answer.get().eventStream()) {
      held.writeBytes(bytes);
      if (held.readableBytes() > MAXIMUM_HELD_BYTES) {
        fail(Reason.ANSWER_INCOMPLETE);
      }
      return;
    }
    splitter.append(bytes).ifPresent(this::pass);
    if (splitter.exceedsMaximumEventSize()) {
      fail(Reason.ANSWER_INCOMPLETE);
    }
  }

  /** Takes the end of an answer that its framing marks as whole. */
  void onResponseEnded() {
    if (ended) {
      return;
    }
    Classification.Matched own = answer.orElseThrow();
    if (own.eventStream()) {
      if (splitter.hasPartialEvent()) {
        fail(Reason.ANSWER_INCOMPLETE);
        return;
      }
      tellHead(own.head());
    } else {
      tellHead(framed(own.head(), held.readableBytes()));
      if (held.isReadable()) {
        Bytes content = new Bytes(ByteBufUtil.getBytes(held));
        events.accept(
            new RouterEvent.UpstreamResponseData(
                id(), content, EventStreamSplitter.NO_NUMBER, EventStreamSplitter.NO_NUMBER, 0));
      }
    }
    ended = true;
    events.accept(new RouterEvent.UpstreamResponseCompleted(id()));
  }

  /** Ends the attempt as one that did not run. */
  void notRun(Reason reason, boolean arrived) {
    if (!ended) {
      ended = true;
      events.accept(new RouterEvent.UpstreamNotRun(id(), reason, arrived));
    }
  }

  /** Ends the attempt as one that may have run without a whole answer. */
  void fail(Reason reason) {
    if (!ended) {
      ended = true;
      events.accept(new RouterEvent.UpstreamFailed(id(), reason));
    }
  }

  private void pass(EventStreamSplitter.Events whole) {
    tellHead(answer.orElseThrow().head());
    window -= whole.content().size();
    events.accept(
        new RouterEvent.UpstreamResponseData(
            id(),
            whole.content(),
            whole.firstNumber(),
            whole.lastNumber(),
            whole.count() * tokensPerEvent));
  }

  private void tellHead(ResponseHead head) {
    if (!headTold) {
      headTold = true;
      events.accept(new RouterEvent.UpstreamResponseStarted(id(), head));
    }
  }

  /** Returns a head that says how long the body is. */
  private static ResponseHead framed(ResponseHead head, int length) {
    List<Header> headers = new ArrayList<>(head.headers());
    headers.removeIf(header -> header.name().equals("content-length"));
    headers.add(new Header("content-length", Integer.toString(length)));
    return new ResponseHead(head.status(), headers);
  }
}
