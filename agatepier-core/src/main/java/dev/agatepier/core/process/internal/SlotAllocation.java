package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage.WaitingCall;
import java.util.OptionalLong;

/** A slot of an upstream and the request that occupies it. */
final class SlotAllocation {

  final String router;
  final WaitingCall call;
  final UpstreamLoad upstream;
  final long grantedNanos;

  /** Cost charged in advance, in cost units. */
  final double chargedCost;

  /** Decay exponent of the ledger at the time of the charge. */
  final double chargedExponent;

  /** Prompt tokens outside the engine's prefix cache when the slot was granted. */
  final int uncachedTokens;

  /** Expected time to prefill those tokens, in milliseconds. */
  final double prefillMillis;

  /** Expected time from the grant to the start of the response, in milliseconds. */
  final double expectedMillis;

  /** Output tokens that the response is expected to have. */
  ExpectedOutput output;

  boolean responseStarted;

  /** When the response started; empty if it has not, or had when the slot was reported. */
  OptionalLong startedNanos = OptionalLong.empty();

  SlotAllocation(
      String router,
      WaitingCall call,
      UpstreamLoad upstream,
      long grantedNanos,
      double chargedCost,
      double chargedExponent,
      int uncachedTokens,
      double prefillMillis,
      double expectedMillis) {
    this.router = router;
    this.call = call;
    this.output = ExpectedOutput.stated(call.prompt());
    this.upstream = upstream;
    this.grantedNanos = grantedNanos;
    this.chargedCost = chargedCost;
    this.chargedExponent = chargedExponent;
    this.uncachedTokens = uncachedTokens;
    this.prefillMillis = prefillMillis;
    this.expectedMillis = expectedMillis;
  }
}
