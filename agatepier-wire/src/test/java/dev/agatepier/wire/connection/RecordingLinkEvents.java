package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Records what links report, heartbeats left out. */
final class RecordingLinkEvents implements LinkEventHandler {

  private static final long PATIENCE_SECONDS = 20;

  final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
  final BlockingQueue<Link> links = new LinkedBlockingQueue<>();
  final BlockingQueue<LinkMessage> messages = new LinkedBlockingQueue<>();
  volatile boolean accepting = true;

  @Override
  public void onPeerConnected(PeerIdentity peer, Link link) {
    lines.add("linked " + peer.instance() + " " + peer.incarnation());
    links.add(link);
  }

  @Override
  public boolean onMessage(PeerIdentity peer, LinkMessage message) {
    if (accepting && !(message instanceof LinkMessage.Heartbeat)) {
      messages.add(message);
    }
    return accepting;
  }

  @Override
  public void onPeerDisconnected(PeerIdentity peer, String reason) {
    lines.add("unlinked " + peer.instance() + " " + peer.incarnation() + " " + reason);
  }

  void assertNext(String expected) {
    assertEquals(await(lines), expected);
  }

  Link nextLink() {
    return await(links);
  }

  LinkMessage nextMessage() {
    return await(messages);
  }

  static <T> T await(BlockingQueue<T> queue) {
    try {
      T next = queue.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
      assertNotNull(next, "nothing came");
      return next;
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }
}
