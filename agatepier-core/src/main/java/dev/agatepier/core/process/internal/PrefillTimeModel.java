package dev.agatepier.core.process.internal;

/**
 * Learns how long an engine takes to read a prompt: a constant and a time for each token, by least
 * squares over the latest readings, each newer one counting more.
 */
final class PrefillTimeModel {

  /** Share of its weight that an observation keeps at each newer one. */
  private static final double KEPT_SHARE = 0.97;

  /** Weight of the two readings that stand for knowledge before any observation. */
  private static final double PRIOR_WEIGHT = 2;

  /** The two readings assumed of an engine that nothing is known of: tokens and milliseconds. */
  private static final double SHORT_TOKENS = 500;

  private static final double SHORT_MILLIS = 40;
  private static final double LONG_TOKENS = 8_000;
  private static final double LONG_MILLIS = 240;

  /** Bounds of what is believed, so that one odd reading does no lasting harm. */
  private static final double LEAST_MILLIS_PER_TOKEN = 0.002;

  private static final double MOST_MILLIS_PER_TOKEN = 2;

  private double weight;
  private double tokens;
  private double millis;
  private double tokensSquared;
  private double tokensMillis;

  PrefillTimeModel() {
    add(SHORT_TOKENS, SHORT_MILLIS, PRIOR_WEIGHT);
    add(LONG_TOKENS, LONG_MILLIS, PRIOR_WEIGHT);
  }

  /** Takes in one reading. */
  void observe(double observedTokens, double observedMillis) {
    weight *= KEPT_SHARE;
    tokens *= KEPT_SHARE;
    millis *= KEPT_SHARE;
    tokensSquared *= KEPT_SHARE;
    tokensMillis *= KEPT_SHARE;
    add(observedTokens, observedMillis, 1);
  }

  /** Returns the expected time to read a number of tokens, in milliseconds. */
  double expectedMillis(double count) {
    double slope = slope();
    double constant = Math.max(0, (millis - slope * tokens) / weight);
    return constant + slope * count;
  }

  private double slope() {
    double spread = weight * tokensSquared - tokens * tokens;
    double slope =
        spread <= 0 ? millis / tokens : (weight * tokensMillis - tokens * millis) / spread;
    return Math.max(LEAST_MILLIS_PER_TOKEN, Math.min(slope, MOST_MILLIS_PER_TOKEN));
  }

  private void add(double addedTokens, double addedMillis, double addedWeight) {
    weight += addedWeight;
    tokens += addedWeight * addedTokens;
    millis += addedWeight * addedMillis;
    tokensSquared += addedWeight * addedTokens * addedTokens;
    tokensMillis += addedWeight * addedTokens * addedMillis;
  }
}
