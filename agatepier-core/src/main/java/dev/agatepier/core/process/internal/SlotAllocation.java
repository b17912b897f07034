package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.WaitingCall;

/** One request that holds a slot. */
final class SlotAllocation {

  final String router;
  final WaitingCall call;
  final UpstreamLoad upstream;
  final long grantedNanos;

  /** Cost charged so far, in cost units. */
  final double chargedCost;

  /** Tokens of the prompt that the engine had to read when the slot was granted. */
  final int uncachedTokens;

  /** Expected time of that reading, in milliseconds. */
  final double prefillMillis;

  boolean responseStarted;

  SlotAllocation(
      String router,
      WaitingCall call,
      UpstreamLoad upstream,
      long grantedNanos,
      double chargedCost,
      int unreadTokens,
      double readingMillis) {
    this.router = router;
    this.call = call;
    this.upstream = upstream;
    this.grantedNanos = grantedNanos;
    this.chargedCost = chargedCost;
    this.uncachedTokens = unreadTokens;
    this.prefillMillis = readingMillis;
  }

  int outputTokens() {
    return call.prompt().map(prompt -> prompt.outputTokens()).orElse(0);
  }
}
