package dev.agatepier.core.process.internal;

/**
 * Predicts the prefill time of a prompt as a constant plus a time per token, fitted by least
 * squares to observed prefills with exponentially decreasing weights.
 */
final class PrefillTimeModel {

  /** Factor by which each observation multiplies the weight of the earlier ones. */
  private static final double DECAY_FACTOR = 0.97;

  /** Weight of each of the two observations assumed at the start. */
  private static final double PRIOR_WEIGHT = 2;

  /** The two observations assumed at the start: tokens and milliseconds. */
  private static final double SHORT_TOKENS = 500;

  private static final double SHORT_MILLIS = 40;
  private static final double LONG_TOKENS = 8_000;
  private static final double LONG_MILLIS = 240;

  /** Bounds of the fitted slope, so that an outlier has no lasting effect. */
  private static final double MIN_MILLIS_PER_TOKEN = 0.002;

  private static final double MAX_MILLIS_PER_TOKEN = 2;

  private double weight;
  private double tokens;
  private double millis;
  private double tokensSquared;
  private double tokensMillis;

  PrefillTimeModel() {
    add(SHORT_TOKENS, SHORT_MILLIS, PRIOR_WEIGHT);
    add(LONG_TOKENS, LONG_MILLIS, PRIOR_WEIGHT);
  }

  /** Adds an observed prefill to the fit. */
  void observe(double observedTokens, double observedMillis) {
    weight *= DECAY_FACTOR;
    tokens *= DECAY_FACTOR;
    millis *= DECAY_FACTOR;
    tokensSquared *= DECAY_FACTOR;
    tokensMillis *= DECAY_FACTOR;
    add(observedTokens, observedMillis, 1);
  }

  /** Returns the expected time to prefill a number of tokens, in milliseconds. */
  double expectedMillis(double count) {
    double slope = slope();
    double constant = Math.max(0, (millis - slope * tokens) / weight);
    return constant + slope * count;
  }

  /** Returns the expected time of one more token, in milliseconds. */
  double millisPerToken() {
    return slope();
  }

  private double slope() {
    double spread = weight * tokensSquared - tokens * tokens;
    double slope =
        spread <= 0 ? millis / tokens : (weight * tokensMillis - tokens * millis) / spread;
    return Math.max(MIN_MILLIS_PER_TOKEN, Math.min(slope, MAX_MILLIS_PER_TOKEN));
  }

  private void add(double addedTokens, double addedMillis, double addedWeight) {
    weight += addedWeight;
    tokens += addedWeight * addedTokens;
    millis += addedWeight * addedMillis;
    tokensSquared += addedWeight * addedTokens * addedTokens;
    tokensMillis += addedWeight * addedTokens * addedMillis;
  }
}
