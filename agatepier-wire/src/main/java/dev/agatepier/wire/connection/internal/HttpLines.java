package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.connection.CodecException;
import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Reads the lines of HTTP messages and refuses those that do not follow RFC 9112 exactly. */
final class HttpLines {

  private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";
  private static final char DELETE = 0x7f;

  /** Bytes of an incomplete line that are known to hold no end of a line. */
  private int scanned;

  /** A header or trailer field; the name is in lower case. */
  record Field(String name, String value) {}

  /**
   * Reads a line that ends with CR LF.
   *
   * @param maximumBytes maximum length of the line
   * @return the line without its end, or null if it is incomplete
   * @throws CodecException if the line is too long, ends with LF alone or has a control character
   */
  String read(ByteBuf input, int maximumBytes) {
    int start = input.readerIndex();
    int end = input.indexOf(start + scanned, input.writerIndex(), (byte) '\n');
    int length = end < 0 ? input.readableBytes() : end - start;
    if (length > maximumBytes) {
      throw new CodecException("a line is longer than " + maximumBytes + " bytes");
    }
    if (end < 0) {
      scanned = length;
      return null;
    }
    scanned = 0;
    if (length == 0 || input.getByte(end - 1) != '\r') {
      throw new CodecException("a line does not end with CR LF");
    }
    String line = input.toString(start, length - 1, StandardCharsets.ISO_8859_1);
    input.readerIndex(end + 1);
    checkText(line);
    return line;
  }

  private static void checkText(String line) {
    for (int index = 0; index < line.length(); index++) {
      char next = line.charAt(index);
      if (next < ' ' && next != '\t' || next == DELETE) {
        throw new CodecException("a line has a control character");
      }
    }
  }

  /**
   * Splits a field line.
   *
   * @throws CodecException if it has no name of token characters directly before a colon
   */
  static Field field(String line) {
    int colon = line.indexOf(':');
    if (colon <= 0 || !isToken(line.substring(0, colon))) {
      throw new CodecException("a field line has no valid name");
    }
    return new Field(line.substring(0, colon).toLowerCase(Locale.ROOT), valueOf(line, colon + 1));
  }

  private static boolean isToken(String text) {
    for (int index = 0; index < text.length(); index++) {
      char next = text.charAt(index);
      boolean letterOrDigit =
          next >= 'a' && next <= 'z' || next >= 'A' && next <= 'Z' || next >= '0' && next <= '9';
      if (!letterOrDigit && TOKEN_MARKS.indexOf(next) < 0) {
        return false;
      }
    }
    return true;
  }

  private static String valueOf(String line, int from) {
    int start = from;
    int end = line.length();
    while (start < end && isBlank(line.charAt(start))) {
      start++;
    }
    while (end > start && isBlank(line.charAt(end - 1))) {
      end--;
    }
    return line.substring(start, end);
  }

  private static boolean isBlank(char next) {
    return next == ' ' || next == '\t';
  }
}
