package dev.agatepier.wire.process;

/**
 * Processor time of the instance.
 *
 * @param cores number of cores
 * @param share share of each core that the process may use; 0 if unknown
 */
public record ProcessorSettings(int cores, double share) {

  /** The default: unknown. */
  public static final ProcessorSettings DEFAULT = new ProcessorSettings(1, 0);

  private static final int MAXIMUM_CORES = 4_096;

  private static final double MAXIMUM_SHARE = 16;

  /** Checks that every value is in range. */
  public ProcessorSettings {
    if (cores < 1 || cores > MAXIMUM_CORES || !(share >= 0 && share <= MAXIMUM_SHARE)) {
      throw new IllegalArgumentException(
          "processor settings: cores "
              + cores
              + " must be from 1 to "
              + MAXIMUM_CORES
              + ", share "
              + share
              + " from 0 to "
              + MAXIMUM_SHARE);
    }
  }

  /** Returns the capacity in thousandths of a core; 0 if unknown. */
  int capacity() {
    return (int) Math.round(1_000 * cores * share);
  }
}
