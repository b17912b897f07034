package dev.agatepier.wire.connection.internal;

import dev.agatepier.wire.connection.CodecException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Decodes a body in chunks. Whatever does not follow the grammar of RFC 9112 is an error, since a
 * body whose spoilt bytes are read as its last chunk would count as complete.
 */
final class ChunkedBodyDecoder {

  /** Maximum length of the line with the size of a chunk, in bytes. */
  private static final int MAXIMUM_SIZE_LINE_BYTES = 8_192;

  private static final int RADIX = 16;

  /** Size, of at most 15 digits so that it fits a long, and extensions. */
  private static final Pattern SIZE_LINE =
      Pattern.compile(
          "([0-9a-fA-F]{1,15}+)(?:[ \\t]*+;[ \\t]*+T++(?:[ \\t]*+=[ \\t]*+(?:T++|\"Q*+\"))?+)*+"
              .replace("T", "[!#$%&'*+.^_`|~0-9A-Za-z-]")
              .replace("Q", "(?:[\\t !#-\\[\\]-~\\x80-\\xff]|\\\\[\\t -~\\x80-\\xff])"));

  private final HttpLines lines = new HttpLines();
  private final int maximumTrailerBytes;
  private final Predicate<String> trailerAllowed;
  private LastHttpContent last = LastHttpContent.EMPTY_LAST_CONTENT;
  private State state = State.SIZE;
  private long remainingBytes;
  private int trailerBytes;

  /** What the next bytes are. */
  private enum State {
    SIZE,
    DATA,
    DATA_END,
    TRAILER,
    ENDED
  }

  /**
   * Creates a decoder for one body.
   *
   * @param maximumTrailerBytes maximum length of the trailer section
   * @param trailerAllowed whether a trailer field may have the given name, in lower case
   */
  ChunkedBodyDecoder(int maximumTrailerBytes, Predicate<String> trailerAllowed) {
    this.maximumTrailerBytes = maximumTrailerBytes;
    this.trailerAllowed = trailerAllowed;
  }

  /**
   * Decodes the next part.
   *
   * @param output empty; receives a part of the content, or the end of a complete body
   * @return whether the body is complete
   * @throws CodecException if the bytes are no body in chunks
   */
  boolean decode(ByteBuf input, List<Object> output) {
    boolean progress = true;
    while (progress && output.isEmpty()) {
      progress =
          switch (state) {
            case SIZE -> readSize(input);
            case DATA -> readData(input, output);
            case DATA_END -> readDataEnd(input);
            case TRAILER -> readTrailer(input, output);
            case ENDED -> false;
          };
    }
    return state == State.ENDED;
  }

  private boolean readSize(ByteBuf input) {
    String line = lines.read(input, MAXIMUM_SIZE_LINE_BYTES);
    if (line == null) {
      return false;
    }
    Matcher matcher = SIZE_LINE.matcher(line);
    if (!matcher.matches()) {
      throw new CodecException("the size of a chunk is malformed");
    }
    remainingBytes = Long.parseLong(matcher.group(1), RADIX);
    state = remainingBytes == 0 ? State.TRAILER : State.DATA;
    return true;
  }

  private boolean readData(ByteBuf input, List<Object> output) {
    int size = (int) Math.min(remainingBytes, input.readableBytes());
    if (size == 0) {
      return false;
    }
    output.add(new DefaultHttpContent(input.readRetainedSlice(size)));
    remainingBytes -= size;
    state = remainingBytes == 0 ? State.DATA_END : State.DATA;
    return true;
  }

  private boolean readDataEnd(ByteBuf input) {
    String line = lines.read(input, 1);
    if (line == null) {
      return false;
    }
    if (!line.isEmpty()) {
      throw new CodecException("the data of a chunk does not end with CR LF");
    }
    state = State.SIZE;
    return true;
  }

  private boolean readTrailer(ByteBuf input, List<Object> output) {
    String line = lines.read(input, maximumTrailerBytes - trailerBytes);
    if (line == null) {
      return false;
    }
    if (line.isEmpty()) {
      state = State.ENDED;
      output.add(last);
    } else {
      addTrailer(line);
    }
    return true;
  }

  private void addTrailer(String line) {
    HttpLines.Field field = HttpLines.field(line);
    if (!trailerAllowed.test(field.name())) {
      throw new CodecException("the trailer section has a field that the head does not announce");
    }
    trailerBytes += line.length();
    if (last == LastHttpContent.EMPTY_LAST_CONTENT) {
      last =
          new DefaultLastHttpContent(
              Unpooled.EMPTY_BUFFER,
              DefaultHttpHeadersFactory.trailersFactory().withValidation(false));
    }
    last.trailingHeaders().add(field.name(), field.value());
  }
}
