package dev.agatepier.wire.version;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.process.VersionDecision;
import dev.agatepier.core.process.VersionPolicy;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** Guards against requested reads that are lost, or are older than their request. */
public class UpstreamsReadTest implements Platform, VersionListener {

  private final BlockingQueue<CompletableFuture<List<Upstream>>> reads =
      new LinkedBlockingQueue<>();
  private final BlockingQueue<String> results = new LinkedBlockingQueue<>();
  private Scheduler scheduler;
  private VersionService service;

  @BeforeMethod
  public void setUp() {
    scheduler = Schedulers.newSingle("versions");
    service =
        new VersionService(
            new VersionDecision("r1", "d", new VersionPolicy(1, 0, 0, 1, 50, 100, 2_000)),
            this,
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
  }

  @Test
  public void readThatIsRequestedDuringAnotherStartsAfterIt() throws Exception {
    service.readUpstreams();
    CompletableFuture<List<Upstream>> first = reads.poll(10, TimeUnit.SECONDS);
    service.readUpstreams();
    service.readUpstreams();
    first.complete(List.of());
    reads.poll(10, TimeUnit.SECONDS).complete(List.of());
    assertEquals(results.poll(10, TimeUnit.SECONDS), "0 upstreams");
    assertEquals(results.poll(10, TimeUnit.SECONDS), "0 upstreams");
    assertEquals(reads.size(), 0);
  }

  @Test
  public void failureIsReportedAndTheNextReadStarts() throws Exception {
    service.readUpstreams();
    reads.poll(10, TimeUnit.SECONDS).completeExceptionally(new PlatformException("unreachable"));
    assertEquals(results.poll(10, TimeUnit.SECONDS), "failed");
    service.readUpstreams();
    reads.poll(10, TimeUnit.SECONDS).complete(List.of());
    assertEquals(results.poll(10, TimeUnit.SECONDS), "0 upstreams");
  }

  @Override
  public CompletableFuture<Optional<ManifestTransfer>> manifest(
      long afterVersion, int waitSeconds) {
    return new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<Bytes> page(PageReference page) {
    return new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<InstanceListRead> instances(
      long afterVersion, int waitSeconds, ReadTimestamp calledAt) {
    return new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<List<Upstream>> upstreams() {
    CompletableFuture<List<Upstream>> read = new CompletableFuture<>();
    reads.add(read);
    return read;
  }

  @Override
  public void onTableActivated(Table table) {
    results.add("table");
  }

  @Override
  public void onInstancesActivated(InstanceList instances) {
    results.add("list");
  }

  @Override
  public void onUpstreamsRead(List<Upstream> upstreams, ReadTimestamp readStarted) {
    results.add(upstreams.size() + " upstreams");
  }

  @Override
  public void onUpstreamsReadFailed(ReadTimestamp readStarted) {
    results.add("failed");
  }
}
