import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Stand-in of a client: sends one request on a new connection and reads the whole answer. */
final class Caller {

  private Caller() {}

  /** Sends a request; returns null if the connection ends without an answer. */
  static Http.Message call(Router router, String head, String body, int timeoutMillis) {
    try (Socket socket = new Socket(router.address, router.frontend)) {
      socket.setSoTimeout(timeoutMillis);
      byte[] content = body.getBytes(StandardCharsets.UTF_8);
      String whole = head + "Content-Length: " + content.length + "\r\n\r\n" + body;
      socket.getOutputStream().write(whole.getBytes(StandardCharsets.UTF_8));
      socket.getOutputStream().flush();
      return new Http.Reader(socket.getInputStream()).readMessage(false);
    } catch (IOException broken) {
      return null;
    }
  }
}
