package dev.agatepier.wire.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests. */
public final class Digests {

  /** Length of a digest, in bytes. */
  public static final int SHA256_BYTES = 32;

  private Digests() {}

  /** Returns a new SHA-256 digest object. */
  public static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException failure) {
      throw new IllegalStateException(
          "SHA-256 is required of every Java platform, but is missing", failure);
    }
  }

  /** Returns the digest of the bytes, as lower-case hexadecimal digits. */
  public static String of(byte[] content) {
    return HexFormat.of().formatHex(sha256().digest(content));
  }

  /** Returns the digest of a text's UTF-8 encoding, as lower-case hexadecimal digits. */
  public static String of(String text) {
    return of(text.getBytes(StandardCharsets.UTF_8));
  }
}
