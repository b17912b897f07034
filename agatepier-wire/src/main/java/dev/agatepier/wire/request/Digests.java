package dev.agatepier.wire.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

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

  /** Returns the digest of some bytes, as lower-case hexadecimal digits. */
  public static String of(byte[] content) {
    return HexFormat.of().formatHex(sha256().digest(content));
  }

  /** Returns the digest of a text's UTF-8 encoding, as lower-case hexadecimal digits. */
  public static String of(String text) {
    return of(text.getBytes(StandardCharsets.UTF_8));
  }
}
