package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.MeasuredCapacity;
import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.Room;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.request.PromptMetadata;
import java.util.List;

/**
 * Slot rule of model engines. It bounds the pending prefill so that an engine's queue stays short,
 * and the tokens of running requests so that none is preempted for memory. Cost is counted in
 * tokens. Output tokens count twice because an engine decodes them one at a time.
 */
final class ModelSlotRule implements SlotRule {

  /**
   * Additional weight of prefilling shared prompt parts: it evicts cached parts, and operators pay
   * for each token that is prefilled again.
   */
  private static final double SHARED_PREFILL_WEIGHT = 1.5;

  /** Cost of a stream that exceeds its gap, relative to time until the first byte. */
  private static final double STRETCHED_STREAM_MILLIS = 20;

  /** Lower bound of the time of a prompt without tokens. */
  private static final double MIN_MILLIS = 1;

  /** An engine prefills one prompt at a time. */
  private static final int PARALLELISM = 1;

  private final SlotAllocatorPolicy policy;
  private final ResponseLengths lengths;

  ModelSlotRule(SlotAllocatorPolicy policy, ResponseLengths lengths) {
    this.policy = policy;
    this.lengths = lengths;
  }

  /** Returns the room; an idle engine takes any request. */
  @Override
  public Room room(UpstreamLoad upstream, long nowNanos) {
    boolean unlimited = upstream.memoryTokens.isEmpty() || upstream.running() == 0;
    double freeTokens =
        unlimited
            ? Double.POSITIVE_INFINITY
            : policy.memoryShare() * upstream.memoryTokens.getAsLong() - upstream.runningTokens();
    return new Room(
        upstream.freeSlots(), freeTokens, upstream.backlogMillis(nowNanos), PARALLELISM);
  }

  /**
   * Returns the tokens that a request adds. Parts that no running request uses would be evicted
   * otherwise, so they count although they are cached, unless the stated lengths apply.
   */
  @Override
  public double neededTokens(UpstreamLoad upstream, WaitingCall call) {
    ExpectedOutput output = lengths.expected(call.workspace(), call.prompt());
    int promptTokens =
        lengths.applied()
            ? call.prompt().map(upstream.cache::unpinnedTokens).orElse(0)
            : uncachedTokens(upstream, call);
    return promptTokens + upstream.addedOutputTokens(output);
  }

  @Override
  public boolean acceptsBacklog(UpstreamLoad upstream, double share, long nowNanos) {
    return upstream.ownBacklogMillis(nowNanos) <= share * upstream.share * policy.backlogMillis();
  }

  @Override
  public boolean permitsStart(UpstreamLoad upstream, WaitingCall call, long nowNanos) {
    return upstream.permitsPrefill(firstByteMillis(upstream, call), nowNanos);
  }

  @Override
  public double delayCostMillis(UpstreamLoad upstream, WaitingCall call) {
    return STRETCHED_STREAM_MILLIS * upstream.streamsStretchedBy(firstByteMillis(upstream, call));
  }

  @Override
  public double backlogMillis(UpstreamLoad upstream, long nowNanos) {
    return upstream.backlogMillis(nowNanos);
  }

  /**
   * Returns the capacity with the harmonic means of the times: fast engines do more of the work.
   */
  @Override
  public MeasuredCapacity capacity(List<UpstreamLoad> upstreams) {
    double requests = 0;
    double tokens = 0;
    for (UpstreamLoad upstream : upstreams) {
      requests += 1 / Math.max(MIN_MILLIS, upstream.prefillMillis(0));
      tokens += 1 / upstream.millisPerPromptToken();
    }
    int count = upstreams.size();
    return new MeasuredCapacity(count, count / requests, count / tokens);
  }

  @Override
  public double firstByteMillis(UpstreamLoad upstream, WaitingCall call) {
    return upstream.prefillMillis(uncachedTokens(upstream, call));
  }

  @Override
  public double workMillis(UpstreamLoad upstream, WaitingCall call) {
    int sharedTokens = call.prompt().map(upstream.cache::uncachedSharedTokens).orElse(0);
    double firstByte = firstByteMillis(upstream, call);
    return firstByte
        + SHARED_PREFILL_WEIGHT
            * (firstByte - upstream.prefillMillis(uncachedTokens(upstream, call) - sharedTokens));
  }

  @Override
  public double expectedCost(WaitingCall call) {
    return call.prompt().map(PromptMetadata::expectedCost).orElse(1.0);
  }

  @Override
  public double actualCost(WaitingCall call, long amount) {
    return call.prompt().map(prompt -> prompt.cost(amount)).orElse(1.0);
  }

  @Override
  public void observe(long amount) {
    // The token counts in the request are better estimates than an average over other requests.
  }

  static int uncachedTokens(UpstreamLoad upstream, WaitingCall call) {
    return call.prompt().map(upstream.cache::uncachedTokens).orElse(0);
  }
}
