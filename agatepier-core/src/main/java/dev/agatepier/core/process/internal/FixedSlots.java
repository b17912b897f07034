package dev.agatepier.core.process.internal;

/**
 * A constant limit that ignores token gaps.
 *
 * @param slots number of slots
 */
record FixedSlots(int slots) implements SlotLimit {

  @Override
  public void onTokenGap(double gapMillis, boolean allInUse) {}
}
