package dev.agatepier.wire.version;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 as lower-case hexadecimal digits. */
public final class Digests {

  private Digests() {}

  /** Returns the digest of some bytes. */
  public static String of(byte[] content) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
    } catch (NoSuchAlgorithmException failure) {
      throw new IllegalStateException("every Java platform has SHA-256", failure);
    }
  }

  /** Returns the digest of a text's UTF-8 encoding. */
  public static String of(String text) {
    return of(text.getBytes(StandardCharsets.UTF_8));
  }
}
