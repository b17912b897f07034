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

public class LinkNetworkTest {

  private static final Bytes SECRET = Bytes.ofText("a secret of the fleet");
  private static final String LOOPBACK = "127.0.0.1";
  private static final LinkSettings QUICK =
      new LinkSettings(20, 100, 5_000, 1_048_576, 64, 262_144, 5, 20, Optional.empty());

  /** Never loses a link by time, so that a paused machine does not decide a test. */
  private static final LinkSettings PATIENT =
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
  public void carriesMessagesInOrderAndCountsThem() {
    int port = listen(QUICK);
    dial(LinkSessions.ROUTER, SECRET, port);
    sidecarEvents.assertNext("linked router-1 7");
    routerEvents.assertNext("linked engine-3 9");
    Link towardsRouter = sidecarEvents.nextLink();
    Link towardsSidecar = routerEvents.nextLink();
    for (int number = 1; number <= 3; number++) {
      assertTrue(towardsRouter.send(new Grant(number, "kolkata-strings")));
      assertEquals(routerEvents.nextMessage(), new Grant(number, "kolkata-strings"));
    }
    towardsSidecar.send(content(100));
    assertEquals(sidecarEvents.nextMessage(), content(100));
    LinkCounters counters = towardsRouter.counters();
    assertTrue(counters.crossRegion());
    assertEquals(counters.sent().get(MessageClass.DEMAND).messages(), 3);
    assertEquals(counters.received().get(MessageClass.PAYLOAD).messages(), 1);
    assertTrue(counters.received().get(MessageClass.PAYLOAD).bytes() > 100);
    assertTrue(counters.controlBytes() > 0);
  }

  @Test
  public void connectsAgainAfterTheLinkWasClosed() {
    int port = listen(QUICK);
    dial(LinkSessions.ROUTER, SECRET, port);
    routerEvents.assertNext("linked engine-3 9");
    sidecarEvents.nextLink().close("test");
    routerEvents.assertNext("unlinked engine-3 9 connection-closed");
    routerEvents.assertNext("linked engine-3 9");
  }

  @Test
  public void refusesWrongSecret() {
    int port = listen(PATIENT);
    try (RawPeer peer = new RawPeer(port)) {
      peer.send(new Hello(1, LinkSessions.ROUTER, new Bytes(new byte[16])));
      peer.read();
      peer.send(new HelloProof(new Bytes(new byte[32])));
      peer.awaitClose();
    }
    assertTrue(sidecarEvents.lines.isEmpty());
  }

  @Test
  public void refusesItsOwnProofReflected() {
    int port = listen(PATIENT);
    try (RawPeer peer = new RawPeer(port)) {
      peer.send(new Hello(1, LinkSessions.ROUTER, new Bytes(new byte[16])));
      peer.read();
      peer.send(peer.read());
      peer.awaitClose();
    }
    assertTrue(sidecarEvents.lines.isEmpty());
  }

  @Test
  public void refusesItsOwnNonce() {
    int port = listen(PATIENT);
    try (RawPeer peer = new RawPeer(port)) {
      Hello theirs = (Hello) peer.read();
      peer.send(new Hello(1, LinkSessions.ROUTER, theirs.nonce()));
      peer.awaitClose();
    }
    assertTrue(sidecarEvents.lines.isEmpty());
  }

  @Test
  public void refusesOtherVersion() {
    int port = listen(PATIENT);
    try (RawPeer peer = new RawPeer(port)) {
      peer.send(new Hello(2, LinkSessions.ROUTER, new Bytes(new byte[16])));
      peer.awaitClose();
    }
    assertTrue(sidecarEvents.lines.isEmpty());
  }

  @Test
  public void refusesLongFrameBeforeTheProof() {
    int port = listen(PATIENT);
    try (RawPeer peer = new RawPeer(port)) {
      peer.sendFrameLength(4_097);
      peer.awaitClose();
    }
  }

  @Test
  public void malformedFrameClosesJustThatLink() {
    int port = listen(PATIENT);
    dial(named("router-2", 1), SECRET, port);
    sidecarEvents.assertNext("linked router-2 1");
    try (RawPeer peer = new RawPeer(port)) {
      authenticate(peer, "router-3");
      sidecarEvents.assertNext("linked router-3 1");
      peer.sendFrame(new byte[] {(byte) 0x91, 0x7f});
      peer.awaitClose();
      sidecarEvents.assertNext(
          "unlinked router-3 1 malformed-message: message type 127 is unknown");
    }
    assertTrue(routerEvents.nextLink().send(new FreeSlots(1)));
    assertEquals(sidecarEvents.nextMessage(), new FreeSlots(1));
  }

  @Test
  public void closesWhenTheQueueOverflows() {
    int port = listen(PATIENT);
    try (RawPeer peer = new RawPeer(port)) {
      authenticate(peer, "router-3");
      Link link = sidecarEvents.nextLink();
      int sent = 0;
      while (link.send(content(16_384))) {
        sent++;
      }
      assertFalse(link.send(new FreeSlots(1)));
      sidecarEvents.assertNext("linked router-3 1");
      sidecarEvents.assertNext("unlinked router-3 1 link-overflow");
      assertTrue(sent > 0, "the queue takes something first");
    }
  }

  @Test
  public void losesSilentLinkByTheMonotonicClock() {
    int port = listen(PATIENT);
    try (RawPeer peer = new RawPeer(port)) {
      authenticate(peer, "router-3");
      Link link = sidecarEvents.nextLink();
      assertTrue(peer.read() instanceof Heartbeat, "the link is in use");
      clockNanos.addAndGet(PATIENT.heartbeatTimeoutNanos() + 1);
      peer.send(new Grant(1, "sent before the pause"));
      sidecarEvents.assertNext("linked router-3 1");
      sidecarEvents.assertNext("unlinked router-3 1 heartbeat-lost");
      assertFalse(link.send(new FreeSlots(1)));
      assertTrue(sidecarEvents.messages.isEmpty(), "a woken process takes no old message");
    }
  }

  @Test
  public void missedHeartbeatsEndTheLink() {
    LinkSettings settings =
        new LinkSettings(20, 4, 5_000, 1_048_576, 64, 262_144, 5, 20, Optional.empty());
    LinkNetwork network = network(LinkSessions.SIDECAR, SECRET, settings, sidecarEvents);
    LinkListener listener = network.listener(LOOPBACK, 0);
    start(listener);
    try (RawPeer peer = new RawPeer(listener.port())) {
      authenticate(peer, "router-3");
      sidecarEvents.assertNext("linked router-3 1");
      clockNanos.addAndGet(settings.heartbeatTimeoutNanos() + 1);
      peer.awaitClose();
      sidecarEvents.assertNext("unlinked router-3 1 heartbeat-lost");
    }
  }

  @Test
  public void newerIncarnationReplacesOlder() {
    int port = listen(PATIENT);
    dial(named("router-1", 1), SECRET, port);
    sidecarEvents.assertNext("linked router-1 1");
    try (RawPeer peer = new RawPeer(port)) {
      authenticate(peer, named("router-1", 2));
      sidecarEvents.assertNext("unlinked router-1 1 replaced");
      sidecarEvents.assertNext("linked router-1 2");
      stopServicesOfDialers();
      peer.send(new FreeSlots(2));
      assertEquals(sidecarEvents.nextMessage(), new FreeSlots(2));
    }
    sidecarEvents.assertNext("unlinked router-1 2 connection-closed");
  }

  @Test
  public void holdsThePeerBackWhileMessagesCannotBeTaken() {
    int port = listen(PATIENT);
    dial(LinkSessions.ROUTER, SECRET, port);
    Link link = routerEvents.nextLink();
    sidecarEvents.assertNext("linked router-1 7");
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
  public void stopLosesNoFrameThatThePeerHasYetToTake() throws Exception {
    int port = listen(QUICK);
    dial(LinkSessions.ROUTER, SECRET, port);
    final Link towardsRouter = sidecarEvents.nextLink();
    Link towardsSidecar = routerEvents.nextLink();
    sidecarEvents.accepting = false;
    routerEvents.accepting = false;
    assertTrue(towardsSidecar.send(content(100_000)));
    for (int number = 1; number <= 50; number++) {
      assertTrue(towardsRouter.send(new Grant(number, "a".repeat(4_000))));
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
    start(network(self, secret, QUICK, routerEvents).dialer(LOOPBACK, port));
  }

  private void stopServicesOfDialers() {
    services.pop().stop().join();
  }

  private void start(ManagedService service) {
    services.push(service);
    service.start().join();
  }

  private LinkNetwork network(
      PeerIdentity self, Bytes secret, LinkSettings settings, LinkEventHandler events) {
    return new LinkNetwork(
        self, secret, settings, () -> new Heartbeat(1, 1, false, 0), events, clockNanos::get);
  }

  /** Goes through the handshake as the dialing side with a proof that a real link computed. */
  private static void authenticate(RawPeer peer, String instance) {
    authenticate(peer, named(instance, 1));
  }

  private static void authenticate(RawPeer peer, PeerIdentity self) {
    Hello own = new Hello(1, self, new Bytes("0123456789abcdef".getBytes()));
    peer.send(own);
    Hello theirs = (Hello) peer.read();
    peer.read();
    peer.send(new HelloProof(HandshakeProofs.dialerProof(SECRET, theirs, own)));
  }

  private static PeerIdentity named(String instance, long incarnation) {
    PeerIdentity router = LinkSessions.ROUTER;
    return new PeerIdentity(
        instance, incarnation, router.role(), router.dataCentre(), router.region(), "");
  }

  private static AttemptContent content(int size) {
    AttemptId attempt = new AttemptId(new RequestId("router-1", 7, 1), 1);
    return new AttemptContent(attempt, 0, new Bytes(new byte[size]));
  }
}
