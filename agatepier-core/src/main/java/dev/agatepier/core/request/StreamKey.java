package dev.agatepier.core.request;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies a stream by the first half of the SHA-256 digest of its workspace, its service and the
 * label of the call that brought its first event. The workspace keeps callers from referring to the
 * streams of others.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
public record StreamKey(long high, long low) {

  /** Separates the digested parts; no part contains it. */
  private static final char SEPARATOR = '\n';

  /** Returns the key of the stream whose first event a call brought. */
  public static StreamKey of(String workspace, String service, String label) {
    try {
      String text = workspace + SEPARATOR + service + SEPARATOR + label;
      byte[] digest =
          MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
      ByteBuffer buffer = ByteBuffer.wrap(digest);
      return new StreamKey(buffer.getLong(), buffer.getLong());
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("every Java runtime must provide SHA-256", missing);
    }
  }

  @Override
  public String toString() {
    return String.format("%016x%016x", high, low);
  }
}
