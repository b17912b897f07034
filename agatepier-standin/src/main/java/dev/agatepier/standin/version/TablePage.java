package dev.agatepier.standin.version;

import dev.agatepier.standin.request.Digests;
import java.nio.charset.StandardCharsets;

/**
 * One page of a published version; its name is made from its content.
 *
 * @param name name of the page
 * @param digest lower-case hexadecimal SHA-256 of the content
 * @param size bytes of the content
 * @param content the content, header line first
 */
public record TablePage(String name, String digest, int size, String content) {

  private static final int NAME_HEXADECIMAL_DIGITS = 16;

  /** Returns the page of a content. */
  public static TablePage of(String prefix, String content) {
    String digest = Digests.sha256(content);
    return new TablePage(
        prefix + digest.substring(0, NAME_HEXADECIMAL_DIGITS),
        digest,
        content.getBytes(StandardCharsets.UTF_8).length,
        content);
  }
}
