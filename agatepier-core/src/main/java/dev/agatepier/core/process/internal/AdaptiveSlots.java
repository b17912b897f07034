package dev.agatepier.core.process.internal;

/**
 * An additive-increase, multiplicative-decrease limit driven by the share of token gaps above a
 * target. The limit doubles until its first decrease (slow start). It grows only after a window in
 * which every slot was in use for more than half of the gaps.
 */
final class AdaptiveSlots implements SlotLimit {

  /** Number of token gaps after which the limit is adjusted. */
  private static final int WINDOW_GAPS = 100;

  /** Most gaps above the target in a window that do not cause a decrease. */
  private static final int MAX_SLOW_GAPS = 5;

  /** Factor by which a decrease multiplies the limit. */
  private static final double DECREASE_FACTOR = 0.8;

  private final int minimum;
  private final int maximum;
  private final long targetMillis;
  private int slots;
  private int gaps;
  private int slowGaps;
  private int saturatedGaps;
  private boolean decreased;

  AdaptiveSlots(int minimum, int maximum, long targetMillis) {
    this.minimum = minimum;
    this.maximum = maximum;
    this.targetMillis = targetMillis;
    this.slots = minimum;
  }

  @Override
  public int slots() {
    return slots;
  }

  @Override
  public void onTokenGap(double gapMillis, boolean allInUse) {
    gaps++;
    slowGaps += gapMillis > targetMillis ? 1 : 0;
    saturatedGaps += allInUse ? 1 : 0;
    if (gaps >= WINDOW_GAPS) {
      adjustLimit();
      gaps = 0;
      slowGaps = 0;
      saturatedGaps = 0;
    }
  }

  private void adjustLimit() {
    if (slowGaps > MAX_SLOW_GAPS) {
      decreased = true;
      slots = Math.max(minimum, (int) (slots * DECREASE_FACTOR));
    } else if (saturatedGaps * 2 > WINDOW_GAPS) {
      slots = Math.min(maximum, decreased ? slots + 1 : slots * 2);
    }
  }
}
