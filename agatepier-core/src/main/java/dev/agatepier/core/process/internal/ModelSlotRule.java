package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.request.PromptMetadata;

/**
 * Grants a model engine only so much unread prompt that its queue stays short, and only so many
 * tokens that no running request has to yield its memory. Cost is counted in tokens, those of the
 * answer twice, as an engine makes them one at a time.
 */
final class ModelSlotRule implements SlotRule {

  /** Weight of a token of the answer against one of the prompt; the platform counts so too. */
  private static final double ANSWER_TOKEN_COST = 2;

  /**
   * Further weight of reading what requests share: it takes memory from what is kept already, and
   * operators pay for each token that is read again.
   */
  private static final double SHARED_WEIGHT = 1.5;

  private final SlotAllocatorPolicy policy;

  ModelSlotRule(SlotAllocatorPolicy policy) {
    this.policy = policy;
  }

  @Override
  public boolean hasCapacity(UpstreamLoad upstream, WaitingCall call) {
    if (upstream.memoryTokens.isEmpty() || upstream.running() == 0) {
      return upstream.freeSlots() > 0;
    }
    double room = policy.memoryShare() * upstream.memoryTokens.getAsLong();
    int answer = call.prompt().map(PromptMetadata::outputTokens).orElse(0);
    return upstream.freeSlots() > 0
        && upstream.runningTokens() + uncachedTokens(upstream, call) + answer <= room;
  }

  @Override
  public boolean acceptsBacklog(UpstreamLoad upstream, double share, long nowNanos) {
    return upstream.backlogMillis(nowNanos) <= share * policy.backlogMillis();
  }

  @Override
  public double backlogMillis(UpstreamLoad upstream, long nowNanos) {
    return upstream.backlogMillis(nowNanos);
  }

  /** An engine reads one prompt after the other. */
  @Override
  public int parallelism() {
    return 1;
  }

  @Override
  public double firstByteMillis(UpstreamLoad upstream, WaitingCall call) {
    return upstream.prefillTime.expectedMillis(uncachedTokens(upstream, call));
  }

  @Override
  public double workMillis(UpstreamLoad upstream, WaitingCall call) {
    int shared = call.prompt().map(upstream.cache::uncachedSharedTokens).orElse(0);
    double own = firstByteMillis(upstream, call);
    return own
        + SHARED_WEIGHT
            * (own - upstream.prefillTime.expectedMillis(uncachedTokens(upstream, call) - shared));
  }

  @Override
  public double expectedCost(WaitingCall call) {
    return call.prompt().map(prompt -> cost(prompt, prompt.outputTokens())).orElse(1.0);
  }

  @Override
  public double actualCost(WaitingCall call, long amount) {
    return call.prompt().map(prompt -> cost(prompt, amount)).orElse(1.0);
  }

  @Override
  public void observe(long amount) {
    // The caller's own figures are better than an average of others.
  }

  static int uncachedTokens(UpstreamLoad upstream, WaitingCall call) {
    return call.prompt().map(upstream.cache::uncachedTokens).orElse(0);
  }

  private static double cost(PromptMetadata prompt, long answerTokens) {
    return prompt.promptTokens() + ANSWER_TOKEN_COST * answerTokens;
  }
}
