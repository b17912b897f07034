package dev.agatepier.standin.request.internal;

import dev.agatepier.standin.request.ModelCall;
import dev.agatepier.standin.request.RunRecord;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;
import reactor.util.concurrent.Queues;

/** Response stream of one engine request; its state is confined to the engine's task. */
public final class EngineStream {

  /** Events buffered for a slow reader; when full, the engine generates no further token. */
  private static final int BUFFERED_EVENTS = 256;

  private final RunRecord record;
  private final ModelCall call;
  private final Sinks.Many<String> events =
      Sinks.many().unicast().onBackpressureBuffer(Queues.<String>get(BUFFERED_EVENTS).get());
  private int nextToken;
  private long prefillEndNanos;

  /** Creates the stream of a request that waits for the batch. */
  public EngineStream(RunRecord record, ModelCall call) {
    this.record = record;
    this.call = call;
  }

  /** Returns the run record of the request. */
  public RunRecord record() {
    return record;
  }

  /** Returns the call. */
  public ModelCall call() {
    return call;
  }

  /** Returns the server-sent events of the response. */
  public Flux<String> events() {
    return events.asFlux();
  }

  /** Sets the time at which the prefill ends, in nanoseconds of the engine's clock. */
  public void setPrefillEnd(long endNanos) {
    prefillEndNanos = endNanos;
  }

  /**
   * Emits the next event if the prefill has ended and the buffer is not full.
   *
   * @return whether the response is now complete
   */
  public boolean step(long nowNanos) {
    if (nowNanos - prefillEndNanos < 0) {
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

  /** Ends the stream of events. */
  public void complete() {
    events.tryEmitComplete();
  }
}
