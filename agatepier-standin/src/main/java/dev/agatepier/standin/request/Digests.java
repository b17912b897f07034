package dev.agatepier.standin.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digests shared by the stand-ins and by the tests that verify their responses. */
public final class Digests {

  private Digests() {}

  /** Returns the lower-case hexadecimal SHA-256 of the bytes. */
  public static String sha256(byte[] content) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException(
          "SHA-256 is not available, although every JDK must provide it", missing);
    }
  }

  /** Returns the lower-case hexadecimal SHA-256 of a text in UTF-8. */
  public static String sha256(String text) {
    return sha256(text.getBytes(StandardCharsets.UTF_8));
  }
}
