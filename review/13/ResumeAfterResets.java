import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Engines reset part of their requests for four seconds; meanwhile one of two routers is killed. All
 * engines have the same software version. Clients take their streams up again at the other router.
 */
final class ResumeAfterResets {

  private static final int ENGINES = 8;
  private static final double GREY_FROM_S = 8;
  private static final double GREY_S = 4;
  private static final double GREY_SHARE = 0.45;
  private static final double KILL_S = GREY_FROM_S + 3.8;
  private static final double END_S = 18;
  private static final int GAP_MILLIS = 50;
  private static final int EVENTS = 45;
  private static final int EVENT_MILLIS = 60;

  private static final Map<String, String> BOUNDS =
      Map.of(
          "retry_budget_ratio", "0.2",
          "retry_slack", "56",
          "budget_window_s", "10",
          "quota_window_s", "4",
          "fail_closed", "true",
          "revoke_ms", "5000",
          "grace_s", "8");

  private final boolean grey = !"0".equals(System.getenv("TROUBLE"));
  private final boolean kill = grey || "1".equals(System.getenv("KILL_ONLY"));
  private final Record record;
  private final Store store = new Store();
  private final List<Router> routers = new ArrayList<>();
  private final Path temporary;
  private final int firstPort;
  private final AtomicInteger numbers = new AtomicInteger();
  private final List<Stream> streams = Collections.synchronizedList(new ArrayList<>());
  private volatile boolean resetting;
  private volatile double killedAt = Double.POSITIVE_INFINITY;

  /** One stream of a client, with its second attempt if it was broken off. */
  private static final class Stream {
    int router;
    double sentAt;
    int events;
    boolean complete;
    int resumedAtRouter = -1;
    double resumedAt;
    int resumedStatus;
    boolean goesOn;
  }

  private ResumeAfterResets(Path directory) throws Exception {
    record = new Record(directory.resolve("record.txt"));
    temporary = Files.createTempDirectory("review-3");
    try (ServerSocket socket = new ServerSocket(0)) {
      firstPort = socket.getLocalPort();
    }
    routers.add(new Router("edge-a-1", "zone-a", 1, temporary, firstPort));
    routers.add(new Router("edge-a-2", "zone-a", 2, temporary, firstPort));
  }

  public static void main(String[] arguments) throws Exception {
    int code = 2;
    try {
      code = new ResumeAfterResets(Path.of(arguments[0])).run();
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
            + "\"engine\":{\"slots\":64,\"kv_capacity\":595957,\"kv_bytes\":18432,"
            + "\"link_mbps\":180000.0,\"moves\":true,\"backups\":true,\"stride\":5,"
            + "\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_ttl_s\":5.0,"
            + "\"models\":[{\"name\":\"m\"}]}}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,\"tokens_per_s\":210000},"
            + "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"k7b2ex5wa5xwyhks8nbk\"],"
            + "\"priority\":1}]}");
    for (int count = 1; count <= ENGINES; count++) {
      String address = Loopback.address(8, count);
      OriginCache.start("side-a-" + count, address, firstPort, temporary);
      new Engine(
              store, "i-7f3a900" + count, "huvo11a", "zone-a", "v1", 64, address, 0, this::answer)
          .register("ready");
    }
    for (Router router : routers) {
      router.start(routers, store, BOUNDS);
    }
    for (Router router : routers) {
      router.awaitReady();
    }
    Thread.sleep(2_500);
    double base = record.seconds();
    record.line("routers and engines are ready; engines reset %s, kill %s", grey, kill);
    Thread callers = Thread.ofVirtual().start(() -> send(base));
    sleepUntil(base + GREY_FROM_S);
    resetting = grey;
    sleepUntil(base + KILL_S);
    if (kill) {
      killedAt = record.seconds();
      routers.get(0).signal("KILL");
      record.line("router edge-a-1 is killed");
    }
    sleepUntil(base + GREY_FROM_S + GREY_S);
    resetting = false;
    callers.join();
    Thread.sleep(4_000);
    return judge(base);
  }

  private void sleepUntil(double seconds) throws InterruptedException {
    Thread.sleep(Math.max(0, (long) ((seconds - record.seconds()) * 1_000)));
  }

  private void answer(Engine engine, Http.Message request, Engine.Connection connection)
      throws Exception {
    String resumed = request.field("last-event-id");
    int first = resumed.isEmpty() ? 1 : Integer.parseInt(resumed) + 1;
    Thread.sleep(60 + ThreadLocalRandom.current().nextInt(60));
    if (resetting && ThreadLocalRandom.current().nextDouble() < GREY_SHARE) {
      record.line("engine %s resets %s", engine.id, request.field("attempt-id"));
      connection.socket().setSoLinger(true, 0);
      connection.socket().close();
      return;
    }
    record.line(
        "engine %s runs %s from event %d", engine.id, request.field("attempt-id"), first);
    connection.write(
        engine.head(request)
            + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int event = first; event <= EVENTS; event++) {
      connection.chunk("id: " + event + "\ndata: piece\n\n");
      Thread.sleep(EVENT_MILLIS);
    }
    connection.write("0\r\n\r\n");
  }

  private void send(double base) {
    try {
      while (record.seconds() - base < END_S) {
        Thread.sleep(GAP_MILLIS);
        Stream stream = new Stream();
        stream.router = record.seconds() < killedAt ? numbers.get() % 2 : 1;
        stream.sentAt = record.seconds();
        streams.add(stream);
        String attempt = "5000%012x".formatted(numbers.incrementAndGet());
        Thread.ofVirtual().start(() -> call(stream, attempt));
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private void call(Stream stream, String attempt) {
    Http.Message answer = request(stream.router, attempt, "");
    stream.events = lastEvent(answer);
    stream.complete = answer != null && answer.status() == 200 && answer.complete();
    record.line(
        "stream %s at router %d: %s, %d events, complete %s",
        attempt,
        stream.router + 1,
        answer == null ? "nothing" : answer.start(),
        stream.events,
        stream.complete);
    if (stream.complete || stream.events == 0) {
      return;
    }
    stream.resumedAtRouter = 1 - stream.router;
    stream.resumedAt = record.seconds();
    String second = "5100%012x".formatted(numbers.incrementAndGet());
    Http.Message rest =
        request(
            stream.resumedAtRouter,
            second,
            "Last-Event-Id: " + stream.events + "\r\nResumes: " + attempt + "\r\n");
    stream.resumedStatus = rest == null ? -1 : rest.status();
    stream.goesOn = lastEvent(rest) > stream.events;
    record.line(
        "stream %s is taken up after event %d as %s at router %d: %s, goes on %s %s",
        attempt,
        stream.events,
        second,
        stream.resumedAtRouter + 1,
        rest == null ? "nothing" : rest.start(),
        stream.goesOn,
        rest == null || rest.status() == 200 ? "" : rest.text());
  }

  private Http.Message request(int router, String attempt, String resumption) {
    String head =
        "POST /draft/%1$s HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: %1$s\r\n".formatted(attempt)
            + "Model: m\r\nToken-Usage: 1200,200\r\nPrompt-Prefix: "
            + "%s:341,%s:859\r\n"
                .formatted(Integer.toHexString(attempt.hashCode() & 15), attempt.substring(8))
            + "Deadline-Ms: 15000\r\nConnection: close\r\n"
            + resumption;
    return Caller.call(routers.get(router), head, "{\"draft\":\"" + attempt + "\"}", 16_000);
  }

  private static int lastEvent(Http.Message answer) {
    int last = 0;
    if (answer != null && answer.status() == 200) {
      for (String line : answer.text().split("\n")) {
        last = line.startsWith("id: ") ? Integer.parseInt(line.substring(4).strip()) : last;
      }
    }
    return last;
  }

  /** Compares the streams taken up at the router in touch with the new streams there. */
  private int judge(double base) {
    int fresh = 0;
    int begun = 0;
    int taken = 0;
    int goOn = 0;
    for (Stream stream : List.copyOf(streams)) {
      boolean during =
          stream.sentAt >= base + GREY_FROM_S && stream.sentAt < base + GREY_FROM_S + GREY_S;
      if (stream.router == 1 && during) {
        fresh++;
        begun += stream.events > 0 ? 1 : 0;
      }
      if (stream.resumedAtRouter == 1) {
        taken++;
        goOn += stream.goesOn ? 1 : 0;
      }
    }
    record.line("new streams at router 2 while engines reset: %d of %d began", begun, fresh);
    record.line("streams taken up again at router 2: %d of %d go on", goOn, taken);
    boolean broken = taken >= 12 && goOn / (double) taken < 0.5 * begun / fresh;
    record.line(broken ? "LOST is broken" : "LOST holds");
    return broken ? 1 : 0;
  }
}
