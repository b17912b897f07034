package dev.agatepier.wire.version;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.process.VersionDecision;
import dev.agatepier.core.process.VersionPolicy;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.Table;
import dev.agatepier.wire.request.Digests;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.server.HttpServer;

public class VersionServiceTest implements VersionListener {

  private static final String INSTANCES =
      "{\"version\":1,\"instances\":[{\"name\":\"r1\",\"role\":\"router\","
          + "\"address\":\"127.0.0.1\",\"port\":1,\"administrationPort\":2,"
          + "\"dataCentre\":\"d\",\"region\":\"r\"}]}";

  private final BlockingQueue<Table> tables = new LinkedBlockingQueue<>();
  private final BlockingQueue<InstanceList> lists = new LinkedBlockingQueue<>();
  private final AtomicReference<String> weight = new AtomicReference<>("4");
  private final AtomicReference<Long> published = new AtomicReference<>(5L);
  private final CountDownLatch badVersionPassed = new CountDownLatch(1);
  private Scheduler scheduler;
  private DisposableServer server;
  private PlatformClient client;
  private VersionService service;

  @BeforeMethod
  public void start() {
    server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .route(
                routes ->
                    routes
                        .get(
                            "/v1/table/manifest",
                            (request, response) ->
                                watched(request.uri())
                                    ? response.status(204).send()
                                    : response.sendString(Mono.just(manifest())))
                        .get(
                            "/v1/table/pages/{name}",
                            (request, response) ->
                                response.sendString(Mono.just(page(request.param("name")))))
                        .get(
                            "/v1/instances",
                            (request, response) -> response.sendString(Mono.just(INSTANCES))))
            .bindNow();
    scheduler = Schedulers.newSingle("version");
    client = new PlatformClient(HttpClient.create(), "http://127.0.0.1:" + server.port());
    VersionPolicy policy = new VersionPolicy(2, 0, 0, 1, 50, 100, 2_000);
    service =
        new VersionService(
            new VersionDecision("r1", "d", policy),
            client,
            new TableReader(),
            (instance, message) -> false,
            List.of(this),
            scheduler,
            System::nanoTime,
            () -> 0.5);
    service.start();
  }

  @AfterMethod
  public void stop() {
    service.stop();
    scheduler.dispose();
    server.disposeNow();
  }

  @Override
  public void onTableActivated(Table table) {
    tables.add(table);
  }

  @Override
  public void onInstancesActivated(InstanceList instances) {
    lists.add(instances);
  }

  @Test
  public void versionsOfThePlatformComeIntoForceAndBadOnesDoNot() throws Exception {
    assertEquals(lists.poll(10, TimeUnit.SECONDS).instances().getFirst().name(), "r1");
    assertEquals(tables.poll(10, TimeUnit.SECONDS).weight("strings"), 4.0);
    service.tableReady().get(10, TimeUnit.SECONDS);
    weight.set("none");
    published.set(6L);
    assertTrue(badVersionPassed.await(10, TimeUnit.SECONDS));
    assertEquals(service.table().version(), 5);
    weight.set("7");
    published.set(7L);
    Table next = tables.poll(10, TimeUnit.SECONDS);
    assertEquals(next.version(), 7);
    assertEquals(next.weight("strings"), 7.0);
    assertTrue(client.readCount() >= 5);
  }

  private boolean watched(String uri) {
    if (uri.contains("after=6&")) {
      badVersionPassed.countDown();
    }
    return uri.contains("after=" + published.get() + "&");
  }

  private String manifest() {
    return "{\"version\":"
        + published.get()
        + ",\"pages\":["
        + reference("workspaces-1")
        + ","
        + reference("services-1")
        + "]}";
  }

  private String reference(String name) {
    String page = page(name);
    return "{\"name\":\"%s\",\"digest\":\"%s\",\"size\":%d}"
        .formatted(name, Digests.of(page), page.length());
  }

  private String page(String name) {
    return name.startsWith("services")
        ? TableReaderTest.SERVICES
        : TableReaderTest.WORKSPACES
            + "strings,%s,%s,1,1,0,plan-model\n".formatted(weight.get(), TableReaderTest.DIGEST);
  }
}
