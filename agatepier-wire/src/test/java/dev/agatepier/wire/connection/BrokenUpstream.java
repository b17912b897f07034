package dev.agatepier.wire.connection;

import dev.agatepier.wire.RawSocket;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An upstream on real sockets that breaks the protocol in many ways, or not at all, as a seeded
 * random number says.
 */
final class BrokenUpstream implements AutoCloseable {

  private static final int EVENTS = 8;
  private static final int SIZE_LINE_BYTES = 4;
  private static final Pattern LABEL = Pattern.compile("label: ([0-9]+)");
  private static final long SECOND_RESPONSE_DELAY_NANOS = 1_000_000;

  private final RawUpstream server = new RawUpstream();
  private final Random random;

  /** Ways to respond. */
  private enum Kind {
    SOUND,
    SOUND_WITHOUT_LENGTH,
    SPOILT_LAST_CHUNK,
    SPOILT_TRAILER,
    EVENTS_AS_TRAILER,
    SPOILT_BYTE,
    LOST_BYTE,
    CUT,
    RESET,
    RESET_WITHOUT_LENGTH,
    NO_RESPONSE,
    BYTES_AFTER,
    SECOND_RESPONSE,
    LATE_SECOND_RESPONSE,
    LATE_SECOND_RESPONSE_WITHOUT_LABEL,
    RESPONSE_OF_OTHER_BEFORE
  }

  BrokenUpstream(long seed) {
    random = new Random(seed);
  }

  int port() {
    return server.port();
  }

  /** Accepts connections until it is closed. */
  void start() {
    Thread.ofVirtual().start(this::acceptAll);
  }

  /** Returns the content of a whole response. */
  static String content(long label) {
    return content(label, EVENTS);
  }

  private static String content(long label, int events) {
    StringBuilder content = new StringBuilder();
    for (int number = 1; number <= events; number++) {
      content.append(event(label, number));
    }
    return content.toString();
  }

  private static String event(long label, int number) {
    return "id: " + number + "\r\ndata: " + label + "\r\n\r\n";
  }

  private void acceptAll() {
    try {
      while (true) {
        RawSocket socket = server.accept();
        long seed = random.nextLong();
        Thread.ofVirtual().start(() -> serve(socket, new Random(seed)));
      }
    } catch (UncheckedIOException closed) {
      // The test has ended.
    }
  }

  private static void serve(RawSocket socket, Random random) {
    try (socket) {
      boolean open = true;
      while (open) {
        Matcher label = LABEL.matcher(socket.readUntil("body").toLowerCase(Locale.ROOT));
        open = label.find() && respond(socket, Long.parseLong(label.group(1)), random);
      }
    } catch (UncheckedIOException | IllegalStateException closed) {
      // The caller has closed the connection.
    }
  }

  /** Responds to a request; returns whether the connection stays open. */
  private static boolean respond(RawSocket socket, long label, Random random) {
    String head = UpstreamCallerFixture.EVENTS.formatted(label);
    String plainHead = UpstreamCallerFixture.HEAD.formatted(label) + "Content-Type: events\r\n\r\n";
    String body = chunks(label, EVENTS);
    String whole = head + body + "0\r\n\r\n";
    int events = 1 + random.nextInt(EVENTS - 1);
    String part = head + chunks(label, events);
    int position = head.length() + random.nextInt(body.length());
    int sizeLine = part.length() + random.nextInt(SIZE_LINE_BYTES);
    Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
    switch (kind) {
      case SOUND -> socket.write(whole);
      case SOUND_WITHOUT_LENGTH -> socket.write(plainHead + content(label));
      case SPOILT_LAST_CHUNK -> socket.write(part + "0 " + random.nextInt() + "\r\n\r\n");
      case SPOILT_TRAILER -> socket.write(part + "0\r\nbad name\1: x\r\n\r\n");
      case EVENTS_AS_TRAILER -> socket.write(part + "0\r\n" + event(label, events + 1));
      case SPOILT_BYTE ->
          socket.write(whole.substring(0, sizeLine) + '\1' + whole.substring(sizeLine + 1));
      case LOST_BYTE -> socket.write(whole.substring(0, sizeLine) + whole.substring(sizeLine + 1));
      case CUT -> socket.write(whole.substring(0, position));
      case RESET -> {
        socket.write(whole.substring(0, position));
        socket.reset();
      }
      case RESET_WITHOUT_LENGTH -> {
        socket.write(plainHead + content(label, events));
        socket.reset();
      }
      case BYTES_AFTER -> socket.write(whole + "\1\2 no response\r\n\r\n");
      case SECOND_RESPONSE -> socket.write(whole + whole);
      case LATE_SECOND_RESPONSE -> writeLate(socket, whole, whole);
      case LATE_SECOND_RESPONSE_WITHOUT_LABEL ->
          writeLate(socket, whole, whole.replace("Label", "Name"));
      case RESPONSE_OF_OTHER_BEFORE -> socket.write(whole.replace("Label: ", "Label: 9") + whole);
      default -> {
        // The connection is closed without a response.
      }
    }
    return kind == Kind.SOUND
        || kind == Kind.LATE_SECOND_RESPONSE
        || kind == Kind.LATE_SECOND_RESPONSE_WITHOUT_LABEL;
  }

  private static void writeLate(RawSocket socket, String first, String second) {
    socket.write(first);
    LockSupport.parkNanos(SECOND_RESPONSE_DELAY_NANOS);
    socket.write(second);
  }

  /** Returns one chunk an event. */
  private static String chunks(long label, int events) {
    StringBuilder chunks = new StringBuilder();
    for (int number = 1; number <= events; number++) {
      String event = event(label, number);
      chunks
          .append(Integer.toHexString(event.length()))
          .append("\r\n")
          .append(event)
          .append("\r\n");
    }
    return chunks.toString();
  }

  @Override
  public void close() {
    server.close();
  }
}
