package dev.agatepier.wire;

import java.util.Arrays;
import java.util.random.RandomGenerator;

/** Corrupts byte arrays at random: replaces, removes, inserts or truncates bytes. */
public final class Mutations {

  private static final int MAXIMUM_CHANGES = 4;

  private Mutations() {}

  /** Returns a corrupted copy of a valid message; the copy may equal the original. */
  public static byte[] of(byte[] valid, RandomGenerator random) {
    byte[] corrupted = valid.clone();
    int changes = 1 + random.nextInt(MAXIMUM_CHANGES);
    for (int change = 0; change < changes && corrupted.length > 0; change++) {
      int at = random.nextInt(corrupted.length);
      corrupted =
          switch (random.nextInt(4)) {
            case 0 -> withReplacedByte(corrupted, at, random);
            case 1 -> withRemovedByte(corrupted, at);
            case 2 -> withInsertedByte(corrupted, at, random);
            default -> Arrays.copyOf(corrupted, at);
          };
    }
    return corrupted;
  }

  private static byte[] withReplacedByte(byte[] bytes, int at, RandomGenerator random) {
    bytes[at] = (byte) random.nextInt(256);
    return bytes;
  }

  private static byte[] withRemovedByte(byte[] bytes, int at) {
    byte[] shorter = Arrays.copyOf(bytes, bytes.length - 1);
    System.arraycopy(bytes, at + 1, shorter, at, shorter.length - at);
    return shorter;
  }

  private static byte[] withInsertedByte(byte[] bytes, int at, RandomGenerator random) {
    byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
    System.arraycopy(bytes, at, longer, at + 1, bytes.length - at);
    longer[at] = (byte) random.nextInt(256);
    return longer;
  }
}
