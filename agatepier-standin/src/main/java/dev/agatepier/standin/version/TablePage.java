package dev.agatepier.standin.version;

import dev.agatepier.standin.request.Digests;
import java.nio.charset.StandardCharsets;

/**
 * A page of a published table; its name is derived from its content.
 *
 * @param name name of the page
 * @param digest lower-case hexadecimal SHA-256 of the content
 * @param size size of the content in UTF-8, in bytes
 * @param content CSV text, header line first
 */
public record TablePage(String name, String digest, int size, String content) {

  private static final int NAME_HEXADECIMAL_DIGITS = 16;

  /** Creates a page whose name is the prefix and the first 16 digits of the digest. */
  public static TablePage of(String prefix, String content) {
    String digest = Digests.sha256(content);
    return new TablePage(
        prefix + digest.substring(0, NAME_HEXADECIMAL_DIGITS),
        digest,
        content.getBytes(StandardCharsets.UTF_8).length,
        content);
  }
}
