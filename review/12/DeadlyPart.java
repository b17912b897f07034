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
 * A small workspace sends three requests about every six seconds. For some time, further requests of the
 * same caller hold a prompt part that crashes each engine that begins to answer them.
 */
final class DeadlyPart {

  private static final int ENGINES = 8;

  /** Time of an engine for a prompt of 1,800 tokens, and for an event. */
  private static final int PREFILL_MILLIS = 50;

  private static final int EVENT_MILLIS = 25;
  private static final String KEY = "k7b2ex5wa5xwyhks8nbk";
  private static final String SHARED = "5c1e07a2:341";
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
  /** Sound requests come in clumps, as the traffic of the site file does. */
  private static final int CLUMP = 3;

  private static final double SHORTEST_GAP_S = 5.5;
  private static final double GAP_SPREAD_S = 0.6;
  private static final double DEADLY_GAP_S = 0.21;
  private static final double DEADLY_FROM_S = 43;
  private static final double END_S = 97;

  private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Record record;
  private final Store store = new Store();
  private final Router router;
  private final Random random = new Random(Long.getLong("seed", System.nanoTime()));
  private final List<Engine> engines = Collections.synchronizedList(new ArrayList<>());
  private final AtomicInteger numbers = new AtomicInteger();
  private final AtomicInteger crashes = new AtomicInteger();
  private final Set<String> begun = ConcurrentHashMap.newKeySet();
  private volatile double lastCountedCrash;

  private record Sound(String attempt, double sentAt, AtomicLong status) {}

  private final List<Sound> sound = Collections.synchronizedList(new ArrayList<>());

  private DeadlyPart(Path directory) throws Exception {
    record = new Record(directory.resolve("record.txt"));
    Path temporary = Files.createTempDirectory("review-3");
    router = new Router("edge-a-1", "zone-a", 1, temporary);
  }

  public static void main(String[] arguments) throws Exception {
    int code = 2;
    try {
      code = new DeadlyPart(Path.of(arguments[0])).run();
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
    Thread.sleep(PREFILL_MILLIS + random.nextInt(40));
    if (engine.ended()) {
      return;
    }
    if (request.field("prompt-prefix").contains("dead0001")) {
      crash(engine);
      return;
    }
    begun.add(request.field("attempt-id"));
    record.line("engine %s begins %s", engine.id, request.field("attempt-id"));
    connection.write(
        engine.head(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = 1; event <= 4; event++) {
      connection.chunk("id: " + event + "\ndata: piece\n\n");
      Thread.sleep(EVENT_MILLIS);
    }
    connection.write("0\r\n\r\n");
  }

  private void crash(Engine engine) {
    int number = crashes.incrementAndGet();
    if (number <= 5) {
      lastCountedCrash = record.seconds();
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
        for (int count = 0; count < CLUMP; count++) {
          String attempt = "5000%012x".formatted(numbers.incrementAndGet());
          String prefix =
              SHARED + ",91bd3f0%d:227,%s:1232".formatted(gaps.nextInt(8), attempt.substring(8));
          Sound one = new Sound(attempt, record.seconds(), new AtomicLong());
          sound.add(one);
          Thread.ofVirtual().start(() -> send(one, prefix));
          Thread.sleep(gaps.nextInt(60));
        }
        Thread.sleep((long) ((SHORTEST_GAP_S + GAP_SPREAD_S * gaps.nextDouble()) * 1_000));
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private void send(Sound one, String prefix) {
    record.line("sound %s sent", one.attempt());
    Http.Message answer = Caller.call(router, head(one.attempt(), prefix), body(one.attempt()), 4_000);
    one.status().set(answer == null ? -1 : answer.status());
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

  /** Compares the shares of sound requests that begin, as the rule has it. */
  private int judge(double base) {
    double calmEnd = base + DEADLY_FROM_S;
    double from = trouble ? lastCountedCrash + 2 * STABLE_WINDOW_S : calmEnd;
    int before = 0;
    int beforeBegun = 0;
    int after = 0;
    int afterBegun = 0;
    for (Sound one : List.copyOf(sound)) {
      if (one.sentAt() < calmEnd) {
        before++;
        beforeBegun += begun.contains(one.attempt()) ? 1 : 0;
      } else if (one.sentAt() >= from && one.sentAt() < base + END_S) {
        after++;
        afterBegun += begun.contains(one.attempt()) ? 1 : 0;
      }
    }
    record.line("crashes by the part: %d", crashes.get());
    record.line("outside the disruption: %d of %d sound requests began", beforeBegun, before);
    record.line("from 8 s after the last crash: %d of %d began", afterBegun, after);
    if (before < 20 || after < 20) {
      record.line("too few requests to judge");
      return 2;
    }
    boolean broken = afterBegun / (double) after < 0.5 * beforeBegun / before;
    record.line(broken ? "LOST is broken" : "LOST holds");
    return broken ? 1 : 0;
  }
}
