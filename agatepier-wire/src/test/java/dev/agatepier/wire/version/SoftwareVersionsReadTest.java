package dev.agatepier.wire.version;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.process.VersionDecision;
import dev.agatepier.core.process.VersionPolicy;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.core.version.SoftwareVersionHistory;
import dev.agatepier.core.version.Table;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** Guards against a read of the software versions before the first list, or with each list. */
public class SoftwareVersionsReadTest implements Platform {

  private static final SoftwareVersionHistory HISTORY =
      new SoftwareVersionHistory(Map.of("s", Set.of("v1")), 5_000);

  private final BlockingQueue<Object> events = new LinkedBlockingQueue<>();
  private Scheduler scheduler;
  private VersionService service;
  private CompletableFuture<SoftwareVersionHistory> history;
  private long version;

  @BeforeMethod
  public void setUp() {
    events.clear();
    version = 0;
    scheduler = Schedulers.newSingle("versions");
    service =
        new VersionService(
            new VersionDecision("r1", "d", new VersionPolicy(1, 0, 0, 1, 50, 100, 2_000)),
            this,
            new TableReader(),
            (instance, message) -> false,
            List.of(new Recorder()),
            scheduler,
            System::nanoTime,
            () -> 0.5);
  }

  @AfterMethod
  public void stop() {
    service.stop();
    scheduler.dispose();
  }

  @Test
  public void softwareVersionsAreReadOnceAfterTheFirstList() throws Exception {
    history = CompletableFuture.completedFuture(HISTORY);
    service.start();
    assertEquals(nextEvents(5), List.of("list 1", "read", HISTORY, "list 2", "list 3"));
  }

  @Test
  public void failedReadIsNotRepeated() throws Exception {
    history = CompletableFuture.failedFuture(new PlatformException("unreachable"));
    service.start();
    assertEquals(nextEvents(4), List.of("list 1", "read", "list 2", "list 3"));
  }

  @Test
  public void historyThatReachesNowhereIsNotReported() throws Exception {
    history = CompletableFuture.completedFuture(SoftwareVersionHistory.NONE);
    service.start();
    assertEquals(nextEvents(3), List.of("list 1", "read", "list 2"));
  }

  private List<Object> nextEvents(int count) throws InterruptedException {
    Object[] next = new Object[count];
    for (int index = 0; index < count; index++) {
      next[index] = events.poll(10, TimeUnit.SECONDS);
    }
    return List.of(next);
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
    InstanceList list = new InstanceList(++version, List.of(), List.of());
    return CompletableFuture.completedFuture(new InstanceListRead(Optional.of(list), calledAt));
  }

  @Override
  public CompletableFuture<SoftwareVersionHistory> softwareVersions() {
    events.add("read");
    return history;
  }

  /** Records the calls of a listener. */
  private final class Recorder implements VersionListener {
    @Override
    public void onTableActivated(Table table) {
      events.add(table);
    }

    @Override
    public void onInstancesActivated(InstanceList instances) {
      events.add("list " + instances.version());
    }

    @Override
    public void onSoftwareVersionsRead(SoftwareVersionHistory read) {
      events.add(read);
    }
  }
}
