import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a socket. */
final class Http {

  private Http() {}

  /**
   * A message.
   *
   * @param complete whether the framing of the message marked its end
   */
  record Message(String start, List<String> fields, byte[] body, boolean complete) {
    /** Returns the value of a field; empty if it is missing. */
    String field(String name) {
      for (String field : fields) {
        int colon = field.indexOf(':');
        if (colon > 0 && field.substring(0, colon).equalsIgnoreCase(name)) {
          return field.substring(colon + 1).strip();
        }
      }
      return "";
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Reads messages of one connection. */
  static final class Reader {
    private final InputStream input;

    Reader(InputStream input) {
      this.input = new BufferedInputStream(input);
    }

    /** Returns the next message; null at the end of the connection. */
    Message readMessage(boolean request) throws IOException {
      String start = readLine();
      if (start == null || start.isEmpty()) {
        return null;
      }
      List<String> fields = new ArrayList<>();
      for (String line = readLine(); line == null || !line.isEmpty(); line = readLine()) {
        if (line == null) {
          return new Message(start, fields, new byte[0], false);
        }
        fields.add(line);
      }
      Message head = new Message(start, fields, new byte[0], true);
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      boolean complete = true;
      try {
        if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
          complete = readChunks(body);
        } else if (!head.field("content-length").isEmpty()) {
          complete = readBytes(body, Integer.parseInt(head.field("content-length")));
        } else if (!request) {
          input.transferTo(body);
        }
      } catch (IOException broken) {
        complete = false;
      }
      return new Message(start, fields, body.toByteArray(), complete);
    }

    private boolean readChunks(ByteArrayOutputStream body) throws IOException {
      while (true) {
        String size = readLine();
        if (size == null) {
          return false;
        }
        int length = Integer.parseInt(size.strip(), 16);
        if (length == 0) {
          return "".equals(readLine());
        }
        if (!readBytes(body, length) || readLine() == null) {
          return false;
        }
      }
    }

    private boolean readBytes(ByteArrayOutputStream body, int length) throws IOException {
      byte[] read = input.readNBytes(length);
      body.write(read);
      return read.length == length;
    }

    private String readLine() throws IOException {
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      int next = input.read();
      while (next >= 0 && next != '\n') {
        line.write(next);
        next = input.read();
      }
      return next < 0 ? null : line.toString(StandardCharsets.ISO_8859_1).strip();
    }
  }
}
