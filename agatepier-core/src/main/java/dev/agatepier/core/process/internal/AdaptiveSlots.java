package dev.agatepier.core.process.internal;

/**
 * Additive increase and multiplicative decrease by the share of token gaps above the target. Until
 * the first decrease the limit doubles. It grows only after a window in which all slots were used.
 */
final class AdaptiveSlots implements SlotLimit {

  /** Token gaps judged together. */
  private static final int WINDOW_GAPS = 100;

  /** Gaps above the target that a window may have. */
  private static final int ALLOWED_SLOW_GAPS = 5;

  /** Share of the slots kept by a decrease. */
  private static final double KEPT_SHARE = 0.8;

  private final int minimum;
  private final int maximum;
  private final long targetMillis;
  private int slots;
  private int seen;
  private int slow;
  private int inFullUse;
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
    seen++;
    slow += gapMillis > targetMillis ? 1 : 0;
    inFullUse += allInUse ? 1 : 0;
    if (seen >= WINDOW_GAPS) {
      judgeWindow();
      seen = 0;
      slow = 0;
      inFullUse = 0;
    }
  }

  private void judgeWindow() {
    if (slow > ALLOWED_SLOW_GAPS) {
      decreased = true;
      slots = Math.max(minimum, (int) (slots * KEPT_SHARE));
    } else if (inFullUse * 2 > WINDOW_GAPS) {
      slots = Math.min(maximum, decreased ? slots + 1 : slots * 2);
    }
  }
}
