package dev.agatepier.wire;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Spoils bytes at random: some are changed, left out, put in or cut off. */
public final class Mutations {

  private static final int MOST_CHANGES = 4;

  private Mutations() {}

  /** Returns a spoilt copy. */
  public static byte[] of(byte[] sound, RandomGenerator random) {
    byte[] spoilt = sound.clone();
    int changes = 1 + random.nextInt(MOST_CHANGES);
    for (int change = 0; change < changes && spoilt.length > 0; change++) {
      int at = random.nextInt(spoilt.length);
      spoilt =
          switch (random.nextInt(4)) {
            case 0 -> changed(spoilt, at, random);
            case 1 -> without(spoilt, at);
            case 2 -> with(spoilt, at, random);
            default -> Arrays.copyOf(spoilt, at);
          };
    }
    return spoilt;
  }

  private static byte[] changed(byte[] bytes, int at, RandomGenerator random) {
    bytes[at] = (byte) random.nextInt(256);
    return bytes;
  }

  private static byte[] without(byte[] bytes, int at) {
    byte[] shorter = Arrays.copyOf(bytes, bytes.length - 1);
    System.arraycopy(bytes, at + 1, shorter, at, shorter.length - at);
    return shorter;
  }

  private static byte[] with(byte[] bytes, int at, RandomGenerator random) {
    byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
    System.arraycopy(bytes, at, longer, at + 1, bytes.length - at);
    longer[at] = (byte) random.nextInt(256);
    return longer;
  }
}
