package dev.agatepier.core.process.internal;

/**
 * A limit that never changes.
 *
 * @param slots number of slots
 */
record FixedSlots(int slots) implements SlotLimit {

  @Override
  public void onTokenGap(double gapMillis, boolean allInUse) {}
}
