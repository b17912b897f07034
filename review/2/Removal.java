import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Engines of a service are replaced one after the other, some seconds after the store was silent.
 * Checks that no request reaches an engine later than drain_ms after the store has acknowledged that
 * its entry is removed.
 */
final class Removal {

  private static final int DRAIN_MILLIS = 2_500;
  private static final int LONGER_MILLIS = 400;
  private static final int STABLE_WINDOW_MILLIS = 4_000;
  private static final int SILENT_MILLIS = 4_000;
  private static final int GAP_MILLIS = 1_000;
  private static final int WORK_MILLIS = 86;
  private static final int ENGINES = 4;
  private static final int CLIENTS = 8;

  private static final String CONFIG =
      """
      {"version":7,"routes":[
      {"name":"r-confirm","host":"a.example","prefix":"/confirm/","route_type":"unsafe",
      "timeout_ms":2000,"target_latency_ms":486,"priority":1,"service":"desk","max_attempts":1,
      "public":false}],
      "services":[
      {"name":"desk","health_check":"/healthz","max_connections":110,"protocol":"h1","tls":false}],
      "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
      "idle_timeout_ms":15000,"tokens_per_s":210000},
      "tenants":[{"name":"t-1","api_keys":["key-1"],"priority":1}]}
      """;

  private record Arrival(String engine, String attempt, double seconds) {}

  private final Recorder record;
  private final boolean trouble;
  private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
  private final Map<String, Double> removedSeconds = new ConcurrentHashMap<>();
  private volatile boolean stop;

  private Removal(Recorder record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws Exception {
    Path folder = Files.createTempDirectory("review");
    int exit;
    try (Recorder record = new Recorder(Path.of(arguments[1]))) {
      boolean trouble = !"0".equals(System.getenv("TROUBLE"));
      record.write("trouble: " + trouble);
      exit = new Removal(record, trouble).run(Path.of(arguments[0]), folder);
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
    List<Engine> old = new ArrayList<>();
    for (int number = 1; number <= ENGINES; number++) {
      old.add(startEngine(store, net + "2", "i-old-" + number));
    }
    Router.Place place = Router.Place.of("edge-z-a-1", net + "3", "z-a", "region-a");
    try (Router router = new Router(root, folder, place, List.of(place), store.address(), 5_000)) {
      router.awaitReady(20_000);
      List<Thread> clients = new ArrayList<>();
      for (int number = 0; number < CLIENTS; number++) {
        int client = number;
        clients.add(Thread.startVirtualThread(() -> send(router, client)));
      }
      Thread.sleep(6_000);
      if (trouble) {
        store.setSilent(true);
      }
      long fromNanos = System.nanoTime();
      Thread.sleep(SILENT_MILLIS);
      if (trouble) {
        store.awaitUnansweredWatch(fromNanos + SILENT_MILLIS * 1_000_000L);
        store.setSilent(false);
      }
      Thread.sleep(STABLE_WINDOW_MILLIS + 50);
      List<Thread> ends = new ArrayList<>();
      for (int number = 0; number < old.size(); number++) {
        Engine leaving = old.get(number);
        startEngine(store, net + "2", "i-new-" + (number + 1));
        store.delete("servers/" + leaving.id());
        removedSeconds.put(leaving.id(), record.seconds());
        ends.add(Thread.startVirtualThread(() -> end(leaving)));
        Thread.sleep(GAP_MILLIS);
      }
      for (Thread end : ends) {
        end.join();
      }
      Thread.sleep(1_000);
      stop = true;
      for (Thread client : clients) {
        client.join();
      }
      record.write("router alive: " + router.alive() + ", ready: " + router.ready());
    }
    return judge();
  }

  private Engine startEngine(Store store, String ip, String id) throws Exception {
    Engine engine =
        new Engine(
            record, id, ip, 6,
            request -> {
              arrivals.add(new Arrival(id, request.header("attempt-id"), record.seconds()));
              Thread.sleep(WORK_MILLIS);
              return new byte[800];
            });
    store.put("servers/" + id, engine.entry("desk", "z-a", "ready", 1));
    return engine;
  }

  /** Ends an engine as a planned shutdown does: drain_ms after its removal and a little longer. */
  private void end(Engine engine) {
    try {
      Thread.sleep(DRAIN_MILLIS + LONGER_MILLIS);
      engine.end();
    } catch (Exception failure) {
      record.write("engine " + engine.id() + ": " + failure);
    }
  }

  private void send(Router router, int client) {
    int number = 0;
    Client connection = null;
    while (!stop) {
      try {
        if (connection == null) {
          connection = new Client(record, router);
        }
        Client.Outcome outcome =
            connection.call(
                "POST", "a.example", "/confirm/x", "c-" + client + "-" + number++, "key-1", 2_000,
                2_500, new byte[600]);
        if (outcome.status() == 0) {
          connection.close();
          connection = null;
        }
        Thread.sleep(100);
      } catch (Exception failure) {
        record.write("client: c-" + client + " cannot connect: " + failure);
        connection = null;
      }
    }
  }

  private int judge() {
    int late = 0;
    for (Arrival arrival : arrivals) {
      Double removed = removedSeconds.get(arrival.engine());
      if (removed != null && arrival.seconds() - removed > DRAIN_MILLIS / 1e3) {
        late++;
        record.write(
            "broken: " + arrival.attempt() + " reached " + arrival.engine() + " "
                + Math.round((arrival.seconds() - removed) * 1e3)
                + " ms after the acknowledged removal");
      }
    }
    record.write("requests run: " + arrivals.size() + ", too late after a removal: " + late);
    return arrivals.size() < 100 ? 2 : late > 0 ? 1 : 0;
  }
}
