package dev.agatepier.wire.request.internal;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** SHA-256 digests. */
public final class Digests {

  /** Length of a digest, in bytes. */
  public static final int SHA256_BYTES = 32;

  private Digests() {}

  /** Returns a fresh SHA-256 digest. */
  public static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("every Java platform has SHA-256", impossible);
    }
  }
}
