import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of an engine: one start of its process. It registers in the store while it runs. */
final class Engine {

  /** Answers the requests that an engine accepts. */
  interface Service {
    void answer(Engine engine, Http.Message request, Connection connection) throws Exception;
  }

  /** A connection of a caller. */
  record Connection(Socket socket, OutputStream output) {
    void write(String text) throws IOException {
      output.write(text.getBytes(StandardCharsets.UTF_8));
      output.flush();
    }

    void chunk(String text) throws IOException {
      int length = text.getBytes(StandardCharsets.UTF_8).length;
      write(Integer.toHexString(length) + "\r\n" + text + "\r\n");
    }
  }

  final String id;
  final String version;
  final long born = System.currentTimeMillis();
  private final String address;
  private final Store store;
  private final String service;
  private final String zone;
  private final int slots;
  private final Service answers;
  private final ServerSocket listener;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final AtomicInteger running = new AtomicInteger();
  private volatile boolean ended;

  /** Starts an engine at 127.0.0.1; port 0 takes any free one. */
  Engine(
      Store store,
      String id,
      String service,
      String zone,
      String version,
      int slots,
      int port,
      Service answers)
      throws IOException {
    this(store, id, service, zone, version, slots, "127.0.0.1", port, answers);
  }

  /** Starts an engine; port 0 takes any free one. */
  Engine(
      Store store,
      String id,
      String service,
      String zone,
      String version,
      int slots,
      String address,
      int port,
      Service answers)
      throws IOException {
    this.address = address;
    this.store = store;
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.version = version;
    this.slots = slots;
    this.answers = answers;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new java.net.InetSocketAddress(InetAddress.getByName(address), port), 512);
    Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Writes the entry of the engine. */
  void register(String state) {
    store.put(
        "servers/" + id,
        ("{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"%s\","
                + "\"slots\":%d,\"state\":\"%s\",\"cold_remaining_ms\":0,\"stage\":\"both\","
                + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":1,"
                + "\"born\":%d}")
            .formatted(service, address, port(), zone, version, slots, state, born));
  }

  /** Ends the process of the engine, as a crash does. */
  void crash() {
    ended = true;
    try {
      listener.close();
    } catch (IOException failure) {
      // It is closed.
    }
    for (Socket socket : open) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException failure) {
        // It is closed.
      }
    }
  }

  boolean ended() {
    return ended;
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException closed) {
      // The engine has ended.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      Http.Reader reader = new Http.Reader(socket.getInputStream());
      Connection connection = new Connection(socket, socket.getOutputStream());
      Http.Message request = reader.readMessage(true);
      while (request != null && !ended) {
        receive(request, connection);
        request = reader.readMessage(true);
      }
    } catch (Exception broken) {
      // The caller has closed the connection, or the engine has ended.
    } finally {
      open.remove(socket);
    }
  }

  private void receive(Http.Message request, Connection connection) throws Exception {
    String path = request.start().split(" ")[1];
    if (path.equals("/v1/report")) {
      String body =
          "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
              + "\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":"
              + running.get()
              + ",\"kv_used\":0,\"kv_total\":595957,\"kv_handles\":0,\"born\":"
              + born
              + "}";
      connection.write(
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
      return;
    }
    String attempt = request.field("attempt-id");
    String expected = request.field("expect-instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      connection.write(
          "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "
              + attempt
              + "\r\nInstance-Id: "
              + id
              + "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    if (running.get() >= slots) {
      connection.write(
          "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nAttempt-Id: "
              + attempt
              + "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    running.incrementAndGet();
    try {
      answers.answer(this, request, connection);
    } finally {
      running.decrementAndGet();
    }
  }

  /** Returns the fields of a success that each answer of this engine has. */
  String head(Http.Message request) {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: "
        + request.field("attempt-id")
        + "\r\nResponse-Signature: "
        + id
        + ".1\r\nInstance-Load: "
        + running.get()
        + ",0,"
        + slots
        + "\r\n";
  }
}
