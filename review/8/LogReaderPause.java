import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Pauses the reader of a router's log while clients go on as usual. Exits with 1 if requests stay
 * without an answer beyond the timeout of their route.
 */
public final class LogReaderPause {

  /** Clients, and the pause of each between two requests: about 180 requests a second together. */
  private static final int CLIENTS = 10;

  private static final long CLIENT_PAUSE_MILLIS = 52;
  private static final long CALM_MILLIS = 5_000;
  private static final long READER_PAUSE_MILLIS = 35_000;
  private static final long AFTER_MILLIS = 8_000;

  /** The timeout_ms of the routes, and the time that the rule adds. */
  private static final int TIMEOUT_MILLIS = 5_000;

  private static final int EXTRA_MILLIS = 500;

  /** Requests without an answer at their route's timeout from which on the rule judges. */
  private static final int MINIMUM_UNANSWERED = 8;

  private static final Map<String, Counts> BY_PHASE = new ConcurrentHashMap<>();
  private static volatile String phase = "calm";
  private static volatile boolean readerPaused;
  private static volatile boolean stopped;

  private static final class Counts {
    final AtomicInteger sent = new AtomicInteger();
    final AtomicInteger served = new AtomicInteger();
    final AtomicInteger late = new AtomicInteger();
    final AtomicInteger unanswered = new AtomicInteger();
  }

  private LogReaderPause() {}

  public static void main(String[] arguments) throws Exception {
    Watchdog.start();
    Path root = Path.of(arguments[0]);
    Path folder = Path.of(arguments[1]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Router router = null;
    int exit = 2;
    try (Record record = new Record(root.resolve("review/8/record.txt"))) {
      String ip = Router.freeAddress();
      Store store = new Store("127.0.0.1");
      store.put("op/config", Files.readString(root.resolve("review/8/config.json")));
      for (int number = 1; number <= 3; number++) {
        new Engine(
            store, "127.0.0.1", "d-" + number, "desk", 6,
            (request, output) -> Engine.answer(request, output, "200 OK", Http.bytes("seats")));
      }
      router = new Router(root, folder, "edge-1", ip, store, Map.of(), true);
      InputStream log = router.log();
      Thread.ofPlatform().daemon().start(() -> readLog(log));
      if (!router.awaitReady(20_000)) {
        record.report("the router did not become ready");
      } else {
        exit = play(router, trouble, record);
      }
    } catch (Throwable failure) {
      failure.printStackTrace();
    } finally {
      stopped = true;
      readerPaused = false;
      if (router != null) {
        router.end();
      }
    }
    System.exit(exit);
  }

  private static void readLog(InputStream log) {
    byte[] buffer = new byte[8_192];
    try {
      for (int read = log.read(buffer); read >= 0; read = log.read(buffer)) {
        while (readerPaused) {
          Thread.sleep(10);
        }
      }
    } catch (IOException | InterruptedException ended) {
      // The process has ended.
    }
  }

  private static int play(Router router, boolean trouble, Record record) throws Exception {
    for (int client = 0; client < CLIENTS; client++) {
      int number = client;
      Thread.ofVirtual().start(() -> runClient(router, number, record));
    }
    Thread.sleep(CALM_MILLIS);
    phase = "pause";
    readerPaused = trouble;
    record.add("the reader of the log pauses: %s", trouble);
    Thread.sleep(READER_PAUSE_MILLIS);
    boolean ready = router.ready();
    phase = "after";
    readerPaused = false;
    record.add("the reader of the log goes on");
    Thread.sleep(AFTER_MILLIS);
    stopped = true;
    for (String name : List.of("calm", "pause", "after")) {
      Counts counts = counts(name);
      record.report(
          "%s: %d sent, %d served, %d answered within %d ms after their timeout,"
              + " %d without an answer then",
          name, counts.sent.get(), counts.served.get(), counts.late.get(), EXTRA_MILLIS,
          counts.unanswered.get());
    }
    record.report("ready at the end of the pause: %s; alive: %s", ready, router.alive());
    if (4 * counts("calm").served.get() < counts("calm").sent.get()) {
      record.report("could not run: less than a quarter was served in calm");
      return 2;
    }
    Counts paused = counts("pause");
    int waiting = paused.late.get() + paused.unanswered.get();
    boolean broken = waiting >= MINIMUM_UNANSWERED && 2 * paused.unanswered.get() > waiting;
    record.report("CONFIG (answers after the timeout of a route): %s", broken ? "broken" : "held");
    return broken ? 1 : 0;
  }

  private static void runClient(Router router, int client, Record record) {
    Socket socket = null;
    InputStream input = null;
    for (int number = 1; !stopped; number++) {
      String id = "%04x%012x".formatted(client, number);
      String path = number % 2 == 0 ? "POST /confirm/x" : "GET /lookup/x";
      String name = phase;
      long sentNanos = System.nanoTime();
      String result;
      try {
        if (socket == null) {
          socket = new Socket();
          socket.connect(router.callers(), 1_000);
          socket.setTcpNoDelay(true);
          socket.setSoTimeout(TIMEOUT_MILLIS + EXTRA_MILLIS);
          input = Http.input(socket);
        }
        counts(name).sent.incrementAndGet();
        sentNanos = System.nanoTime();
        socket
            .getOutputStream()
            .write(
                Http.bytes(
                    ("%s HTTP/1.1\r\nHost: seats.example\r\nAttempt-Id: %s\r\n"
                            + "Credential: key-1\r\nDeadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n")
                        .formatted(path, id)));
        Http.Message answer = Http.read(input);
        if (answer == null) {
          throw new IOException("closed without an answer");
        }
        result = Integer.toString(answer.status());
        counts(name).served.addAndGet(answer.status() == 200 ? 1 : 0);
        boolean late = System.nanoTime() - sentNanos >= TIMEOUT_MILLIS * 1_000_000L;
        counts(name).late.addAndGet(late ? 1 : 0);
        if (answer.header("connection").equals("close")) {
          socket.close();
          socket = null;
        }
      } catch (java.net.SocketTimeoutException late) {
        result = "no answer in time";
        counts(name).unanswered.incrementAndGet();
        socket = close(socket);
      } catch (IOException failure) {
        result = failure.toString();
        socket = close(socket);
      }
      record.add("%s %s %s: %s", name, path, id, result);
      pause();
    }
    close(socket);
  }

  private static Socket close(Socket socket) {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException ignored) {
      // It is closed already.
    }
    return null;
  }

  private static Counts counts(String name) {
    return BY_PHASE.computeIfAbsent(name, ignored -> new Counts());
  }

  private static void pause() {
    try {
      Thread.sleep(CLIENT_PAUSE_MILLIS);
    } catch (InterruptedException interrupted) {
      stopped = true;
    }
  }
}
