import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * One of two routers is stopped as planned while requests wait for a busy engine. Checks that no
 * request that the router has read ends without an answer, unless the engine was at work on it.
 */
final class PlannedStop {

  private static final int GRACE_MILLIS = 8_000;
  private static final int LOSS_SLACK_MILLIS = 200;
  private static final int WORK_MILLIS = 1_000;
  private static final int SLOTS = 2;
  private static final int CLIENTS = 25;
  private static final int DEADLINE_MILLIS = 15_000;
  private static final int WARM_UP_MILLIS = 16_000;

  private static final String CONFIG =
      """
      {"version":7,"routes":[
      {"name":"r-print","host":"a.example","prefix":"/print/","route_type":"unsafe",
      "timeout_ms":15000,"target_latency_ms":14000,"priority":1,"service":"desk","max_attempts":1,
      "public":false}],
      "services":[
      {"name":"desk","health_check":"/healthz","max_connections":110,"protocol":"h1","tls":false}],
      "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
      "idle_timeout_ms":20000,"tokens_per_s":210000},
      "tenants":[{"name":"t-1","api_keys":["key-1"],"priority":1}]}
      """;

  private record Ended(String attempt, Router router, double sentSeconds, Client.Outcome outcome) {}

  private final Recorder record;
  private final boolean trouble;
  private final Set<String> started = ConcurrentHashMap.newKeySet();
  private final List<Ended> ended = new CopyOnWriteArrayList<>();
  private volatile double stopSeconds = Double.MAX_VALUE;
  private volatile boolean stop;

  private PlannedStop(Recorder record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Files.createTempDirectory("review");
    int exit;
    try (Recorder record = new Recorder(Path.of(arguments[1]))) {
      boolean trouble = !"0".equals(System.getenv("TROUBLE"));
      record.write("trouble: " + trouble);
      exit = new PlannedStop(record, trouble).run(Path.of(arguments[0]), folder);
      record.write("exit code " + exit);
    }
    Cleanup.delete(folder);
    System.exit(exit);
  }

  private int run(Path root, Path folder) throws Exception {
    Random random = new Random();
    String net = "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
    Store store = new Store(record, net + "1");
    store.put("op/config", CONFIG);
    Engine engine =
        new Engine(
            record, "i-desk", net + "2", SLOTS,
            request -> {
              started.add(request.header("attempt-id"));
              Thread.sleep(WORK_MILLIS);
              return new byte[800];
            });
    store.put("servers/i-desk", engine.entry("desk", "z-a", "ready", 1));
    List<Router.Place> places =
        List.of(
            Router.Place.of("edge-z-a-1", net + "3", "z-a", "region-a"),
            Router.Place.of("edge-z-a-2", net + "4", "z-a", "region-a"));
    List<Router> routers = new ArrayList<>();
    try {
      for (Router.Place place : places) {
        routers.add(new Router(root, folder, place, places, store.address(), 5_000));
      }
      for (Router router : routers) {
        router.awaitReady(20_000);
      }
      Thread.sleep(3_000);
      List<Thread> clients = new ArrayList<>();
      for (int number = 0; number < CLIENTS; number++) {
        int client = number;
        clients.add(Thread.startVirtualThread(() -> send(routers, client)));
        Thread.sleep(100);
      }
      Thread.sleep(WARM_UP_MILLIS);
      Router leaving = routers.getFirst();
      if (trouble) {
        stopSeconds = record.seconds();
        record.write("platform: SIGTERM to edge-z-a-1");
        leaving.signal("TERM");
      }
      Thread.sleep(GRACE_MILLIS);
      if (trouble && leaving.alive()) {
        record.write("platform: SIGKILL to edge-z-a-1");
        leaving.signal("KILL");
      }
      Thread.sleep(2_000);
      stop = true;
      for (Thread client : clients) {
        client.join();
      }
      return judge(leaving);
    } finally {
      routers.forEach(Router::close);
    }
  }

  /** Sends one request after the other, each to a router that is ready, over kept connections. */
  private void send(List<Router> routers, int client) {
    int number = 0;
    Router router = null;
    Client connection = null;
    while (!stop) {
      try {
        if (connection == null) {
          Router preferred = routers.get(client % routers.size());
          router = preferred.ready() ? preferred : routers.get((client + 1) % routers.size());
          connection = new Client(record, router);
        }
        String attempt = "c-" + client + "-" + number++;
        double sent = record.seconds();
        Client.Outcome outcome =
            connection.call(
                "POST", "a.example", "/print/x", attempt, "key-1", DEADLINE_MILLIS,
                DEADLINE_MILLIS + 1_000, new byte[600]);
        ended.add(new Ended(attempt, router, sent, outcome));
        if (outcome.status() == 0 || outcome.closes()) {
          connection.close();
          connection = null;
        }
        Thread.sleep(50);
      } catch (Exception failure) {
        record.write("client: c-" + client + " cannot connect: " + failure);
        connection = null;
      }
    }
  }

  private int judge(Router leaving) {
    int lost = 0;
    Map<Integer, Integer> statuses = new ConcurrentHashMap<>();
    for (Ended request : ended) {
      statuses.merge(request.outcome().status(), 1, Integer::sum);
      boolean around =
          request.router() == leaving
              && request.sentSeconds() >= stopSeconds - DEADLINE_MILLIS / 1e3
              && request.sentSeconds() <= stopSeconds + GRACE_MILLIS / 1e3 + 1;
      boolean unanswered =
          request.outcome().status() == 0
              && request.outcome().millis() > LOSS_SLACK_MILLIS
              && request.outcome().millis() < DEADLINE_MILLIS;
      if (around && unanswered && !started.contains(request.attempt())) {
        lost++;
        record.write(
            "broken: " + request.attempt() + ", sent "
                + Math.round((request.sentSeconds() - stopSeconds) * 1e3)
                + " ms after SIGTERM, never reached an engine and got no answer");
      }
    }
    record.write("requests by status (0: no answer): " + statuses + ", lost: " + lost);
    return ended.size() < 30 ? 2 : lost > 0 ? 1 : 0;
  }
}
