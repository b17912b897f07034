import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Requests of a caller hold a prompt part that crashes each engine that begins to write an answer on
 * it: the engine has written the first events when it crashes.
 */
final class LateCrash {

  private static final int ENGINES = 8;
  private static final String KEY = "k7b2ex5wa5xwyhks8nbk";
  private static final String SHARED = "5c1e07a2:341";
  private static final String OTHER = "77aa02b1:341";
  private static final String DEADLY = "dead0001:227";

  /** Bounds of the sheet of chairmap-prod that the settings template takes, and stable_window_ms. */
  private static final Map<String, String> BOUNDS =
      Map.of(
          "retry_budget_ratio", "0.2",
          "retry_slack", "56",
          "budget_window_s", "10",
          "quota_window_s", "4",
          "fail_closed", "true",
          "revoke_ms", "5000",
          "grace_s", "8");

  private static final double STABLE_WINDOW_S = 4;

  /** Events that an engine writes on the part before it crashes, and the time between events. */
  private static final int EVENTS_BEFORE_CRASH = 3;

  private static final int EVENT_MILLIS = 40;
  private static final double MEAN_GAP_S = 0.4;
  private static final double DEADLY_GAP_S = 1.5;
  private static final double DEADLY_FROM_S = 10;
  private static final double END_S = 50;

  private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Record record;
  private final Store store = new Store();
  private final Router router;
  private final Random random = new Random(Long.getLong("seed", System.nanoTime()));
  private final List<Engine> engines = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger numbers = new AtomicInteger();
  private final AtomicInteger crashes = new AtomicInteger();
  private final Set<String> begun = ConcurrentHashMap.newKeySet();
  private final List<Double> deadlyArrivals = Collections.synchronizedList(new ArrayList<>());
  private volatile double fifthCrash = Double.POSITIVE_INFINITY;

  private record Sound(String attempt, double sentAt, AtomicLong status) {}

  private final List<Sound> sound = Collections.synchronizedList(new ArrayList<>());

  private LateCrash(Path directory) throws Exception {
    record = new Record(directory.resolve("record.txt"));
    Path temporary = Files.createTempDirectory("review-3");
    router = new Router("edge-a-1", "zone-a", 1, temporary);
  }

  public static void main(String[] arguments) throws Exception {
    int code = 2;
    try {
      code = new LateCrash(Path.of(arguments[0])).run();
    } catch (Exception failure) {
      failure.printStackTrace();
    }
    System.exit(code);
  }

  private int run() throws Exception {
    store.put(
        "op/config",
        ("{\"version\":7,\"routes\":[{\"name\":\"r-check\",\"host\":\"ficu95.example\","
                + "\"prefix\":\"/check/\",\"route_type\":\"streaming\",\"timeout_ms\":3000,"
                + "\"target_latency_ms\":500,\"priority\":1,\"service\":\"huvo11a\","
                + "\"max_attempts\":2,\"public\":false,\"session_affinity\":true,"
                + "\"resumable\":true,\"target_gap_ms\":250}],"
                + "\"services\":[{\"name\":\"huvo11a\",\"health_check\":\"/healthz\","
                + "\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":64,\"kv_capacity\":595957,\"kv_bytes\":18432,"
                + "\"link_mbps\":180000.0,\"moves\":true,\"backups\":true,\"stride\":5,"
                + "\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_ttl_s\":5.0,"
                + "\"models\":[{\"name\":\"m\"}]}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":210000},"
                + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"%s\"],\"priority\":1}]}")
            .formatted(KEY));
    for (int count = 0; count < ENGINES; count++) {
      startEngine();
    }
    router.start(List.of(router), store, BOUNDS);
    router.awaitReady();
    Thread.sleep(1_500);
    record.line("router and engines are ready; trouble %s", trouble);
    double base = record.seconds();
    Thread soundCallers = Thread.ofVirtual().start(() -> sendSound(base));
    Thread deadlyCallers = Thread.ofVirtual().start(() -> sendDeadly(base));
    soundCallers.join();
    deadlyCallers.join();
    Thread.sleep(3_500);
    return judge(base);
  }

  private void startEngine() throws Exception {
    String id = "i-" + Integer.toHexString(0x7f3a9000 + numbers.incrementAndGet());
    Engine engine = new Engine(store, id, "huvo11a", "zone-a", "v1", 64, 0, this::answer);
    engines.add(engine);
    engine.register("ready");
  }

  /** Answers after the prefill; begins to write the answer on a deadly part by crashing. */
  private void answer(Engine engine, Http.Message request, Engine.Connection connection)
      throws Exception {
    if (request.field("prompt-prefix").contains("dead0001")) {
      deadlyArrivals.add(record.seconds());
      record.line("engine %s gets deadly %s", engine.id, request.field("attempt-id"));
    }
    Thread.sleep(150 + random.nextInt(100));
    if (engine.ended()) {
      return;
    }
    boolean deadly = request.field("prompt-prefix").contains("dead0001");
    String resumed = request.field("last-event-id");
    int first = resumed.isEmpty() ? 1 : Integer.parseInt(resumed) + 1;
    begun.add(request.field("attempt-id"));
    record.line("engine %s begins %s", engine.id, request.field("attempt-id"));
    connection.write(
        engine.head(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = first; event <= 12; event++) {
      if (deadly && event == first + EVENTS_BEFORE_CRASH) {
        crash(engine);
        return;
      }
      connection.chunk("id: " + event + "\ndata: piece\n\n");
      Thread.sleep(EVENT_MILLIS);
    }
    connection.write("0\r\n\r\n");
  }

  private void crash(Engine engine) {
    int number = crashes.incrementAndGet();
    if (number == 5) {
      fifthCrash = record.seconds();
    }
    record.line("engine %s crashes on the part, crash %d", engine.id, number);
    engine.crash();
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                Thread.sleep(3_000);
                startEngine();
                Thread.sleep(600);
                store.delete("servers/" + engine.id);
              } catch (Exception failure) {
                record.line("engine did not start again: %s", failure);
              }
            });
  }

  private String head(String attempt, String prefix) {
    return "POST /check/" + attempt + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: "
        + attempt
        + "\r\nModel: m\r\nToken-Usage: 1800,25\r\nPrompt-Prefix: "
        + prefix
        + "\r\nDeadline-Ms: 3000\r\nCredential: "
        + KEY
        + "\r\nConnection: close\r\n";
  }

  /** Returns a body that no other request has. */
  private static String body(String attempt) {
    return "{\"question\":\"" + attempt + "\"}";
  }

  private void sendSound(double base) {
    try {
      Random gaps = new Random(random.nextLong());
      while (record.seconds() - base < END_S) {
        Thread.sleep((long) (-Math.log(1 - gaps.nextDouble()) * MEAN_GAP_S * 1_000));
        String attempt = "5000%012x".formatted(numbers.incrementAndGet());
        String prefix =
            (gaps.nextInt(5) == 0 ? SHARED : OTHER)
                + ",91bd3f0%d:227,%s:1232".formatted(gaps.nextInt(8), attempt.substring(8));
        Sound one = new Sound(attempt, record.seconds(), new AtomicLong());
        sound.add(one);
        Thread.ofVirtual().start(() -> send(one, prefix));
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private void send(Sound one, String prefix) {
    record.line("sound %s sent", one.attempt());
    Http.Message answer = Caller.call(router, head(one.attempt(), prefix), body(one.attempt()), 4_000);
    one.status().set(answer == null || !answer.complete() ? -1 : answer.status());
    record.line(
        "sound %s answered %s",
        one.attempt(),
        answer == null
            ? "nothing"
            : answer.status() + " complete " + answer.complete() + " retry-after "
                + answer.field("retry-after") + " " + (answer.status() == 200 ? "" : answer.text()));
  }

  private void sendDeadly(double base) {
    try {
      while (trouble && record.seconds() - base < END_S) {
        double seconds = record.seconds() - base;
        Thread.sleep((long) (DEADLY_GAP_S * 1_000));
        if (seconds < DEADLY_FROM_S) {
          continue;
        }
        String attempt = "6000%012x".formatted(numbers.incrementAndGet());
        String prefix = SHARED + "," + DEADLY + "," + attempt.substring(8) + ":1232";
        Thread.ofVirtual()
            .start(
                () -> {
                  Http.Message answer = Caller.call(router, head(attempt, prefix), body(attempt), 4_000);
                  record.line(
                      "deadly %s answered %s",
                      attempt, answer == null ? "nothing" : Integer.toString(answer.status()));
                });
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  /** Counts the requests with the part that reach engines too late, as the rule has it. */
  private int judge(double base) {
    long late =
        List.copyOf(deadlyArrivals).stream()
            .filter(seconds -> seconds > fifthCrash + STABLE_WINDOW_S)
            .count();
    long cut = List.copyOf(sound).stream().filter(one -> one.status().get() < 0).count();
    record.line("crashes by the part: %d, the fifth at %.3f s", crashes.get(), fifthCrash);
    record.line("sound requests: %d, of them %d without a whole answer", sound.size(), cut);
    record.line("requests with the part that reached engines 4 s after the fifth crash: %d", late);
    boolean broken = late > 3;
    record.line(broken ? "BUDGET is broken" : "BUDGET holds");
    return broken ? 1 : 0;
  }
}
