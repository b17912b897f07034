package dev.agatepier.wire.version;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.VersionMessage;
import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.process.VersionDecision;
import dev.agatepier.core.process.VersionPolicy;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.request.Digests;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.client.HttpClient;

public class PeerTransferTest {

  private static final PeerIdentity PEER =
      new PeerIdentity("r2", 1, Role.ROUTER, "d", "region", "");
  private static final LinkMessage.Heartbeat HEARTBEAT = new LinkMessage.Heartbeat(9, 0, false, 0);
  private static final Map<String, Bytes> PAGES =
      Map.of(
          "workspaces-1", Bytes.ofText(TableReaderTest.WORKSPACES),
          "services-1", Bytes.ofText(TableReaderTest.SERVICES));

  private final List<String> requests = new ArrayList<>();
  private VersionService service;

  @Test
  public void pageThatDoesNotMatchItsDigestIsNotTaken() throws Exception {
    Scheduler scheduler = Schedulers.newSingle("version");
    service =
        new VersionService(
            new VersionDecision("r1", "d", new VersionPolicy(1, 0, 0, 1, 50, 100, 2_000)),
            new PlatformClient(HttpClient.create(), "http://127.0.0.1:1"),
            new TableReader(),
            this::answer,
            List.of(),
            scheduler,
            System::nanoTime,
            () -> 0.5);
    service.start();
    service.onPeerConnected(PEER);
    service.receive(PEER, HEARTBEAT);
    service.tableReady().get(10, TimeUnit.SECONDS);
    service.stop();
    scheduler.dispose();
    assertEquals(service.table().version(), 9);
    assertEquals(requests.size(), 3, "the tampered page and two good ones");
  }

  private boolean answer(String instance, LinkMessage message) {
    switch (message) {
      case VersionMessage.ManifestRequest ignored -> service.receive(PEER, manifest());
      case VersionMessage.PageRequest(String digest) -> {
        requests.add(digest);
        Bytes content = requests.size() == 1 ? Bytes.ofText("tampered") : page(digest);
        service.receive(PEER, new VersionMessage.PageTransfer(digest, content));
        service.receive(PEER, HEARTBEAT);
      }
      default -> {}
    }
    return true;
  }

  private static ManifestTransfer manifest() {
    return new ManifestTransfer(
        9,
        PAGES.entrySet().stream()
            .map(
                page ->
                    new PageReference(
                        page.getKey(), Digests.of(page.getValue().array()), page.getValue().size()))
            .toList());
  }

  private static Bytes page(String digest) {
    return PAGES.values().stream()
        .filter(page -> Digests.of(page.array()).equals(digest))
        .findFirst()
        .orElseThrow();
  }
}
