package dev.agatepier.wire.version.internal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;

/** Decodes UTF-8 and refuses what is not UTF-8. */
public final class StrictUtf8Decoder {

  private StrictUtf8Decoder() {}

  /** The bytes are not UTF-8. */
  public static final class MalformedUtf8Exception extends IOException {

    private static final long serialVersionUID = 1L;

    private final int line;

    MalformedUtf8Exception(int line) {
      super("not UTF-8 on line " + line);
      this.line = line;
    }

    /** Returns the line of the first bad byte, from 1. */
    public int line() {
      return line;
    }
  }

  /** Decodes the whole content. */
  public static String decode(byte[] content) throws MalformedUtf8Exception {
    CharBuffer text = CharBuffer.allocate(content.length);
    CoderResult result =
        StandardCharsets.UTF_8
            .newDecoder()
            .onMalformedInput(CodingErrorAction.REPORT)
            .decode(ByteBuffer.wrap(content), text, true);
    text.flip();
    if (result.isError()) {
      int lines = (int) text.chars().filter(character -> character == '\n').count();
      throw new MalformedUtf8Exception(lines + 1);
    }
    return text.toString();
  }
}
