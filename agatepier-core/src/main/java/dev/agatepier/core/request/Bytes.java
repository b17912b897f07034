package dev.agatepier.core.request;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Byte sequence with equality by content. The array is not copied, so the creator must not change
 * it afterwards.
 *
 * @param array the content
 */
public record Bytes(byte[] array) {

  /** The empty sequence. */
  public static final Bytes EMPTY = new Bytes(new byte[0]);

  /** Returns the UTF-8 encoding of a text. */
  public static Bytes ofText(String text) {
    return new Bytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the number of bytes. */
  public int size() {
    return array.length;
  }

  /** Returns the content decoded as UTF-8. */
  public String text() {
    return new String(array, StandardCharsets.UTF_8);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Bytes bytes && Arrays.equals(array, bytes.array);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(array);
  }

  @Override
  public String toString() {
    return array.length + " bytes";
  }
}
