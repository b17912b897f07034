package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import dev.agatepier.core.connection.AttemptMessage.AttemptContent;
import dev.agatepier.core.connection.LinkMessage.FreeSlots;
import dev.agatepier.core.connection.LinkMessage.Grant;
import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.LinkMessage.Hello;
import dev.agatepier.core.connection.LinkMessage.HelloProof;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.RequestId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.scheduler.Schedulers;
import reactor.netty.tcp.TcpResources;

public class LinkNetworkTest {

  private static final Bytes SECRET = Bytes.ofText("a secret of the fleet");
  private static final String LOOPBACK = "127.0.0.1";
  private static final int PROTOCOL_VERSION = 7;
  private static final LinkSettings SHORT_INTERVALS =
      new LinkSettings(20, 100, 5_000, 1_048_576, 64, 262_144, 5, 20, Optional.empty());

  /** Timeouts too long to expire in a test, so that a paused machine cannot make a test fail. */
  private static final LinkSettings LONG_TIMEOUTS =
      new LinkSettings(60_000, 4, 60_000, 1_048_576, 64, 262_144, 5, 20, Optional.empty());

  private final Deque<ManagedService> services = new ArrayDeque<>();
  private RecordingLinkEvents sidecarEvents;
  private RecordingLinkEvents routerEvents;
  private AtomicLong clockNanos;

  @BeforeMethod
  public void createEvents() {
    sidecarEvents = new RecordingLinkEvents();
    routerEvents = new RecordingLinkEvents();
    clockNanos = new AtomicLong();
  }

  @AfterMethod(alwaysRun = true)
  public void stopServices() {
    while (!services.isEmpty()) {
      services.pop().stop().orTimeout(5, TimeUnit.SECONDS).join();
    }
  }

  @Test
  public void deliversMessagesInOrderAndCountsThem() {
    int port = listen(SHORT_INTERVALS);
    dial(LinkSessions.ROUTER, SECRET, port);
    sidecarEvents.assertNext("connected router-1 7");
    routerEvents.assertNext("connected engine-3 9");
    Link linkToRouter = sidecarEvents.nextLink();
    Link linkToSidecar = routerEvents.nextLink();
    for (int number = 1; number <= 3; number++) {
      assertTrue(linkToRouter.send(new Grant(number, "kolkata-strings")));
      assertEquals(routerEvents.nextMessage(), new Grant(number, "kolkata-strings"));
    }
    linkToSidecar.send(content(100));
    assertEquals(sidecarEvents.nextMessage(), content(100));
    LinkCounters counters = linkToRouter.counters();
    assertTrue(counters.crossRegion());
    assertEquals(counters.sent().get(MessageClass.DEMAND).messages(), 3);
    assertEquals(counters.received().get(MessageClass.PAYLOAD).messages(), 1);
    assertTrue(counters.received().get(MessageClass.PAYLOAD).bytes() > 100);
    assertTrue(counters.controlBytes() > 0);
  }

  @Test
  public void reconnectsAfterLinkIsClosed() {
    int port = listen(SHORT_INTERVALS);
    dial(LinkSessions.ROUTER, SECRET, port);
    routerEvents.assertNext("connected engine-3 9");
    sidecarEvents.nextLink().close("test");
    routerEvents.assertNext("disconnected engine-3 9 connection-closed");
    routerEvents.assertNext("connected engine-3 9");
  }

  @Test
  public void rejectsWrongSecret() {
    int port = listen(LONG_TIMEOUTS);
    try (RawPeer peer = new RawPeer(port)) {
      peer.send(new Hello(PROTOCOL_VERSION, LinkSessions.ROUTER, new Bytes(new byte[16])));
      peer.read();
      peer.send(new HelloProof(new Bytes(new byte[32])));
      peer.awaitClose();
    }
    assertTrue(sidecarEvents.lines.isEmpty());
  }

  @Test
  public void rejectsItsOwnProofReflected() {
    int port = listen(LONG_TIMEOUTS);
    try (RawPeer peer = new RawPeer(port)) {
      peer.send(new Hello(PROTOCOL_VERSION, LinkSessions.ROUTER, new Bytes(new byte[16])));
      peer.read();
      peer.send(peer.read());
      peer.awaitClose();
    }
    assertTrue(sidecarEvents.lines.isEmpty());
  }

  @Test
  public void rejectsItsOwnNonce() {
    int port = listen(LONG_TIMEOUTS);
    try (RawPeer peer = new RawPeer(port)) {
      Hello remoteHello = (Hello) peer.read();
      peer.send(new Hello(PROTOCOL_VERSION, LinkSessions.ROUTER, remoteHello.nonce()));
      peer.awaitClose();
    }
    assertTrue(sidecarEvents.lines.isEmpty());
  }

  @Test
  public void rejectsOtherProtocolVersion() {
    int port = listen(LONG_TIMEOUTS);
    try (RawPeer peer = new RawPeer(port)) {
      peer.send(new Hello(PROTOCOL_VERSION + 1, LinkSessions.ROUTER, new Bytes(new byte[16])));
      peer.awaitClose();
    }
    assertTrue(sidecarEvents.lines.isEmpty());
  }

  @Test
  public void rejectsLongFrameBeforeHandshakeCompletes() {
    int port = listen(LONG_TIMEOUTS);
    try (RawPeer peer = new RawPeer(port)) {
      peer.sendFrameLength(4_097);
      peer.awaitClose();
    }
  }

  @Test
  public void malformedMessageClosesOnlyItsLink() {
    int port = listen(LONG_TIMEOUTS);
    dial(routerIdentity("router-2", 1), SECRET, port);
    sidecarEvents.assertNext("connected router-2 1");
    try (RawPeer peer = new RawPeer(port)) {
      authenticate(peer, "router-3");
      sidecarEvents.assertNext("connected router-3 1");
      peer.sendFrame(new byte[] {(byte) 0x91, 0x7f});
      peer.awaitClose();
      sidecarEvents.assertNext(
          "disconnected router-3 1 malformed-message: message type 127 is unknown");
    }
    assertTrue(routerEvents.nextLink().send(new FreeSlots(1)));
    assertEquals(sidecarEvents.nextMessage(), new FreeSlots(1));
  }

  @Test
  public void closesLinkWhenOutboundQueueOverflows() {
    int port = listen(LONG_TIMEOUTS);
    try (RawPeer peer = new RawPeer(port)) {
      authenticate(peer, "router-3");
      Link link = sidecarEvents.nextLink();
      int sent = 0;
      while (link.send(content(16_384))) {
        sent++;
      }
      assertFalse(link.send(new FreeSlots(1)));
      sidecarEvents.assertNext("connected router-3 1");
      sidecarEvents.assertNext("disconnected router-3 1 link-overflow");
      assertTrue(sent > 0, "the queue accepts messages before it overflows");
    }
  }

  @Test
  public void closesLinkAfterHeartbeatTimeoutOfMonotonicClock() {
    int port = listen(LONG_TIMEOUTS);
    try (RawPeer peer = new RawPeer(port)) {
      authenticate(peer, "router-3");
      Link link = sidecarEvents.nextLink();
      assertTrue(peer.read() instanceof Heartbeat, "the link is active");
      clockNanos.addAndGet(LONG_TIMEOUTS.heartbeatTimeoutNanos() + 1);
      peer.send(new Grant(1, "sent before the pause"));
      sidecarEvents.assertNext("connected router-3 1");
      sidecarEvents.assertNext("disconnected router-3 1 heartbeat-lost");
      assertFalse(link.send(new FreeSlots(1)));
      assertTrue(
          sidecarEvents.messages.isEmpty(),
          "a message received after the heartbeat timeout is discarded");
    }
  }

  @Test
  public void missedHeartbeatsCloseLink() {
    LinkSettings settings =
        new LinkSettings(20, 4, 5_000, 1_048_576, 64, 262_144, 5, 20, Optional.empty());
    LinkNetwork network = network(LinkSessions.SIDECAR, SECRET, settings, sidecarEvents);
    LinkListener listener = network.listener(LOOPBACK, 0);
    start(listener);
    try (RawPeer peer = new RawPeer(listener.port())) {
      authenticate(peer, "router-3");
      sidecarEvents.assertNext("connected router-3 1");
      clockNanos.addAndGet(settings.heartbeatTimeoutNanos() + 1);
      peer.awaitClose();
      sidecarEvents.assertNext("disconnected router-3 1 heartbeat-lost");
    }
  }

  @Test
  public void sendsHeartbeatsOverEveryLink() {
    LinkSettings settings =
        new LinkSettings(20, 4, 5_000, 1_048_576, 64, 262_144, 5, 20, Optional.empty());
    LinkNetwork network = network(LinkSessions.SIDECAR, SECRET, settings, sidecarEvents);
    LinkListener listener = network.listener(LOOPBACK, 0);
    start(listener);
    try (RawPeer first = new RawPeer(listener.port());
        RawPeer second = new RawPeer(listener.port())) {
      authenticate(first, "router-3");
      authenticate(second, "router-4");
      for (int heartbeat = 0; heartbeat < 3; heartbeat++) {
        assertTrue(first.read() instanceof Heartbeat);
        assertTrue(second.read() instanceof Heartbeat);
      }
    }
    try (RawPeer later = new RawPeer(listener.port())) {
      authenticate(later, "router-5");
      for (int heartbeat = 0; heartbeat < 3; heartbeat++) {
        assertTrue(later.read() instanceof Heartbeat, "the timer runs again");
      }
    }
  }

  @Test
  public void newerIncarnationReplacesOlderLink() {
    int port = listen(LONG_TIMEOUTS);
    dial(routerIdentity("router-1", 1), SECRET, port);
    sidecarEvents.assertNext("connected router-1 1");
    try (RawPeer peer = new RawPeer(port)) {
      authenticate(peer, routerIdentity("router-1", 2));
      sidecarEvents.assertNext("disconnected router-1 1 replaced");
      sidecarEvents.assertNext("connected router-1 2");
      stopDialer();
      peer.send(new FreeSlots(2));
      assertEquals(sidecarEvents.nextMessage(), new FreeSlots(2));
    }
    sidecarEvents.assertNext("disconnected router-1 2 connection-closed");
  }

  @Test
  public void appliesBackpressureWhileHandlerAcceptsNoMessages() {
    int port = listen(LONG_TIMEOUTS);
    dial(LinkSessions.ROUTER, SECRET, port);
    Link link = routerEvents.nextLink();
    sidecarEvents.assertNext("connected router-1 7");
    sidecarEvents.accepting = false;
    for (int number = 1; number <= 10; number++) {
      link.send(new FreeSlots(number));
    }
    sidecarEvents.accepting = true;
    for (int number = 1; number <= 10; number++) {
      assertEquals(sidecarEvents.nextMessage(), new FreeSlots(number));
    }
  }

  @Test
  public void stopDeliversFramesThatPeerHasNotReadYet() throws Exception {
    int port = listen(SHORT_INTERVALS);
    dial(LinkSessions.ROUTER, SECRET, port);
    final Link linkToRouter = sidecarEvents.nextLink();
    Link linkToSidecar = routerEvents.nextLink();
    sidecarEvents.accepting = false;
    routerEvents.accepting = false;
    assertTrue(linkToSidecar.send(content(100_000)));
    for (int number = 1; number <= 50; number++) {
      assertTrue(linkToRouter.send(new Grant(number, "a".repeat(4_000))));
    }
    CompletableFuture<Void> stopped = services.peekLast().stop();
    routerEvents.accepting = true;
    for (int number = 1; number <= 50; number++) {
      assertEquals(routerEvents.nextMessage(), new Grant(number, "a".repeat(4_000)));
    }
    stopped.get(20, TimeUnit.SECONDS);
  }

  private int listen(LinkSettings settings) {
    LinkListener listener =
        network(LinkSessions.SIDECAR, SECRET, settings, sidecarEvents).listener(LOOPBACK, 0);
    start(listener);
    return listener.port();
  }

  private void dial(PeerIdentity self, Bytes secret, int port) {
    start(network(self, secret, SHORT_INTERVALS, routerEvents).dialer(LOOPBACK, port));
  }

  private void stopDialer() {
    services.pop().stop().join();
  }

  private void start(ManagedService service) {
    services.push(service);
    service.start().join();
  }

  private LinkNetwork network(
      PeerIdentity self, Bytes secret, LinkSettings settings, LinkEventHandler events) {
    return new LinkNetwork(
        self,
        secret,
        settings,
        () -> new Heartbeat(1, 1, false, 0),
        events,
        clockNanos::get,
        TcpResources.get(),
        Schedulers.parallel());
  }

  /** Performs the dialing side of the handshake with a valid proof. */
  private static void authenticate(RawPeer peer, String instance) {
    authenticate(peer, routerIdentity(instance, 1));
  }

  private static void authenticate(RawPeer peer, PeerIdentity self) {
    Hello localHello = new Hello(PROTOCOL_VERSION, self, new Bytes("0123456789abcdef".getBytes()));
    peer.send(localHello);
    Hello remoteHello = (Hello) peer.read();
    peer.read();
    peer.send(new HelloProof(HandshakeProofs.dialerProof(SECRET, remoteHello, localHello)));
  }

  private static PeerIdentity routerIdentity(String instance, long incarnation) {
    PeerIdentity router = LinkSessions.ROUTER;
    return new PeerIdentity(
        instance, incarnation, router.role(), router.dataCentre(), router.region(), "");
  }

  private static AttemptContent content(int size) {
    AttemptId attempt = new AttemptId(new RequestId("router-1", 7, 1), 1);
    return new AttemptContent(attempt, 0, new Bytes(new byte[size]));
  }
}
