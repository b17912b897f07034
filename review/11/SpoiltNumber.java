import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

/**
 * Three of five engines spoil one byte of some of their answers: the digit of an event's id, which
 * is too high then. The event after it shows that.
 */
final class SpoiltNumber {

  private static final int ENGINES = 5;
  private static final int SPOILING = 3;

  /** Slots of an engine, as on the sheet of the large deployment. */
  private static final int SLOTS = 16;

  private static final double SPOILT_SHARE = 0.05;
  private static final double FROM_S = 4;
  private static final double FOR_S = 5.5;
  private static final double END_S = 14;
  private static final int GAP_MILLIS = 10;

  private static final int EVENTS = 20;
  private static final int EVENT_MILLIS = 25;

  private static final Map<String, String> BOUNDS =
      Map.of(
          "retry_budget_ratio", "0.2",
          "retry_slack", "56",
          "budget_window_s", "10",
          "quota_window_s", "4",
          "fail_closed", "true",
          "revoke_ms", "5000",
          "grace_s", "8");

  private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Record record;
  private final Store store = new Store();
  private final Router router;
  private final AtomicInteger numbers = new AtomicInteger();
  private final AtomicInteger spoilt = new AtomicInteger();
  private final AtomicInteger whole = new AtomicInteger();
  private final AtomicInteger wrong = new AtomicInteger();
  private final AtomicInteger others = new AtomicInteger();
  private volatile boolean spoiling;

  private SpoiltNumber(Path directory) throws Exception {
    record = new Record(directory.resolve("record.txt"));
    router = new Router("edge-a-1", "zone-a", 1, Files.createTempDirectory("review-3"));
  }

  public static void main(String[] arguments) throws Exception {
    int code = 2;
    try {
      code = new SpoiltNumber(Path.of(arguments[0])).run();
    } catch (Exception failure) {
      failure.printStackTrace();
    }
    System.exit(code);
  }

  private int run() throws Exception {
    store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-draft\",\"host\":\"ficu95.example\","
            + "\"prefix\":\"/draft/\",\"route_type\":\"streaming\",\"timeout_ms\":15000,"
            + "\"target_latency_ms\":1000,\"priority\":1,\"service\":\"huvo11a\","
            + "\"max_attempts\":2,\"public\":true,\"session_affinity\":true,"
            + "\"resumable\":true,\"target_gap_ms\":250}],"
            + "\"services\":[{\"name\":\"huvo11a\",\"health_check\":\"/healthz\","
            + "\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,"
            + "\"engine\":{\"slots\":16,\"kv_capacity\":595957,\"kv_bytes\":18432,"
            + "\"link_mbps\":180000.0,\"moves\":true,\"backups\":true,\"stride\":5,"
            + "\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_ttl_s\":5.0,"
            + "\"models\":[{\"name\":\"m\"}]}}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":210000},"
            + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"k7b2ex5wa5xwyhks8nbk\"],"
            + "\"priority\":1}]}");
    for (int count = 1; count <= ENGINES; count++) {
      boolean faulty = count <= SPOILING;
      new Engine(
              store,
              "i-7f3a900" + count,
              "huvo11a",
              "zone-a",
              "v1",
              SLOTS,
              0,
              (engine, request, connection) -> answer(engine, request, connection, faulty))
          .register("ready");
    }
    router.start(List.of(router), store, BOUNDS);
    router.awaitReady();
    Thread.sleep(1_500);
    double base = record.seconds();
    record.line("router and engines are ready; trouble %s", trouble);
    Thread callers = Thread.ofVirtual().start(() -> send(base));
    sleepUntil(base + FROM_S);
    spoiling = trouble;
    sleepUntil(base + FROM_S + FOR_S);
    spoiling = false;
    callers.join();
    Thread.sleep(3_000);
    record.line(
        "streams spoilt %d; clients got %d with all pieces, %d complete ones without all, %d others",
        spoilt.get(), whole.get(), wrong.get(), others.get());
    boolean broken = wrong.get() > 0;
    record.line(broken ? "ORDER is broken" : "ORDER holds");
    return broken ? 1 : 0;
  }

  private void sleepUntil(double seconds) throws InterruptedException {
    Thread.sleep(Math.max(0, (long) ((seconds - record.seconds()) * 1_000)));
  }

  private void answer(
      Engine engine, Http.Message request, Engine.Connection connection, boolean faulty)
      throws Exception {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    Thread.sleep(60);
    String attempt = request.field("attempt-id");
    String resumed = request.field("last-event-id");
    int first = resumed.isEmpty() ? 1 : Integer.parseInt(resumed) + 1;
    int spoiltEvent = 0;
    if (spoiling && faulty && first == 1 && random.nextDouble() < SPOILT_SHARE) {
      spoiltEvent = 2 + random.nextInt(5);
      spoilt.incrementAndGet();
    }
    record.line(
        "engine %s runs %s from event %d, spoils event %d", engine.id, attempt, first, spoiltEvent);
    connection.write(
        engine.head(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = first; event <= EVENTS; event++) {
      String number = event == spoiltEvent ? "9" : Integer.toString(event);
      connection.chunk("id: " + number + "\ndata: piece " + event + "\n\n");
      Thread.sleep(EVENT_MILLIS);
    }
    connection.write("0\r\n\r\n");
  }

  /** Returns the pieces of a stream, in order. */
  private static List<String> pieces(String stream) {
    return stream.lines().filter(line -> line.startsWith("data: piece ")).toList();
  }

  private static final List<String> ALL =
      IntStream.rangeClosed(1, EVENTS).mapToObj(event -> "data: piece " + event).toList();

  private void send(double base) {
    try {
      while (record.seconds() - base < END_S) {
        Thread.sleep(GAP_MILLIS);
        String attempt = "5000%012x".formatted(numbers.incrementAndGet());
        Thread.ofVirtual().start(() -> call(attempt));
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private void call(String attempt) {
    String head =
        "POST /draft/%1$s HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: %1$s\r\n".formatted(attempt)
            + "Model: m\r\nToken-Usage: 1200,200\r\nPrompt-Prefix: "
            + "%s:341,%s:859\r\n"
                .formatted(Integer.toHexString(attempt.hashCode() & 127), attempt.substring(8))
            + "Deadline-Ms: 15000\r\nConnection: close\r\n";
    Http.Message answer = Caller.call(router, head, "{\"draft\":\"" + attempt + "\"}", 16_000);
    if (answer == null || answer.status() != 200 || !answer.complete()) {
      others.incrementAndGet();
      record.line("client of %s gets %s", attempt, answer == null ? "nothing" : answer.start());
    } else if (pieces(answer.text()).equals(ALL)) {
      whole.incrementAndGet();
    } else {
      wrong.incrementAndGet();
      record.line(
          "client of %s gets 200, complete, with %s",
          attempt, answer.text().replace("\n\n", "; ").replace('\n', ' '));
    }
  }
}
