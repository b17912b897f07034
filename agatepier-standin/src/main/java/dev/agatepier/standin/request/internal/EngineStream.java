package dev.agatepier.standin.request.internal;

import dev.agatepier.standin.request.ModelCall;
import dev.agatepier.standin.request.RunRecord;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;
import reactor.util.concurrent.Queues;

/** One request of an engine; its state is owned by the engine's task. */
public final class EngineStream {

  /** Events that wait for a slow reader; further tokens wait in the engine. */
  private static final int BUFFERED_EVENTS = 256;

  private final RunRecord record;
  private final ModelCall call;
  private final Sinks.Many<String> events =
      Sinks.many().unicast().onBackpressureBuffer(Queues.<String>get(BUFFERED_EVENTS).get());
  private int nextToken;
  private long readyNanos;

  /** Creates the stream of a request that has just arrived. */
  public EngineStream(RunRecord record, ModelCall call) {
    this.record = record;
    this.call = call;
  }

  /** Returns the record of the request. */
  public RunRecord record() {
    return record;
  }

  /** Returns the call. */
  public ModelCall call() {
    return call;
  }

  /** Returns the events of the answer. */
  public Flux<String> events() {
    return events.asFlux();
  }

  /** Sets when the prefill is done, by the engine's clock in nanoseconds. */
  public void setPrefillEnd(long nanos) {
    readyNanos = nanos;
  }

  /**
   * Generates the next event if the prefill is done and the reader keeps up.
   *
   * @return whether the answer is now whole
   */
  public boolean step(long nowNanos) {
    if (nowNanos - readyNanos < 0) {
      return false;
    }
    boolean last = nextToken == call.completionTokens() - 1;
    String event = call.tokenEvent(nextToken) + (last ? call.closingEvents() : "");
    if (events.tryEmitNext(event).isFailure()) {
      return false;
    }
    nextToken++;
    return last;
  }

  /** Tells the reader that the answer is whole. */
  public void complete() {
    events.tryEmitComplete();
  }
}
