import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's metadata store: reads, ranges and watches, as PROTOCOL.md has them. */
final class Store {

  private record Item(String key, byte[] value, long revision, long created) {
    String json() {
      return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":0}"
          .formatted(key, Base64.getEncoder().encodeToString(value), revision, created);
    }
  }

  private record Change(long revision, String key, String json) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private final ServerSocket listener;
  private long revision = 100;

  /** Whether calls are rejected with 503. */
  private volatile boolean busy;

  Store() throws IOException {
    listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  void setBusy(boolean busy) {
    this.busy = busy;
  }

  boolean busy() {
    return busy;
  }

  synchronized void put(String key, String value) {
    Item before = items.get(key);
    long created = before == null ? revision + 1 : before.created();
    Item item = new Item(key, value.getBytes(StandardCharsets.UTF_8), ++revision, created);
    items.put(key, item);
    changes.add(new Change(revision, key, item.json()));
    notifyAll();
  }

  synchronized void delete(String key) {
    if (items.remove(key) != null) {
      revision++;
      changes.add(
          new Change(
              revision,
              key,
              "{\"key\":\"%s\",\"revision\":%d,\"deleted\":true}".formatted(key, revision)));
      notifyAll();
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException closed) {
      // The stand-in has ended.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      Http.Reader reader = new Http.Reader(socket.getInputStream());
      Http.Message request = reader.readMessage(true);
      while (request != null) {
        String answer = answer(request.start().split(" ")[1]);
        boolean rejects = busy;
        boolean found = !answer.isEmpty() && !rejects;
        byte[] body = (found ? answer : "{}").getBytes(StandardCharsets.UTF_8);
        String status = rejects ? "503 Service Unavailable" : "404 Not Found";
        String head =
            "HTTP/1.1 "
                + (found ? "200 OK" : status)
                + "\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length
                + "\r\n\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
        request = reader.readMessage(true);
      }
    } catch (IOException | InterruptedException ended) {
      // The caller has closed the connection.
    }
  }

  private synchronized String answer(String target) throws InterruptedException {
    int mark = target.indexOf('?');
    String path = mark < 0 ? target : target.substring(0, mark);
    Map<String, String> query = new HashMap<>();
    for (String pair : (mark < 0 ? "" : target.substring(mark + 1)).split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    switch (path) {
      case "/v1/kv-key" -> {
        Item item = items.get(query.get("key"));
        if (item == null) {
          return "";
        }
        String json = item.json();
        return json.substring(0, json.length() - 1) + ",\"at\":" + revision + "}";
      }
      case "/v1/kv-range" -> {
        String prefix = query.get("prefix");
        String after = query.getOrDefault("after", "");
        List<String> found = new ArrayList<>();
        boolean more = false;
        for (Item item : items.tailMap(prefix, true).values()) {
          if (!item.key().startsWith(prefix)) {
            break;
          }
          if (item.key().compareTo(after) > 0) {
            if (found.size() == 50) {
              more = true;
              break;
            }
            found.add(item.json());
          }
        }
        return "{\"items\":[%s],\"has_more\":%s,\"at\":%d}"
            .formatted(String.join(",", found), more, revision);
      }
      case "/v1/kv-watch" -> {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
          List<String> found = new ArrayList<>();
          for (Change change : changes) {
            if (change.revision() > after && change.key().startsWith(prefix)) {
              found.add(change.json());
            }
          }
          long left = (end - System.nanoTime()) / 1_000_000;
          if (!found.isEmpty() || left <= 0) {
            return "{\"events\":[%s],\"at\":%d}".formatted(String.join(",", found), revision);
          }
          wait(left);
        }
      }
      default -> {
        return "";
      }
    }
  }
}
