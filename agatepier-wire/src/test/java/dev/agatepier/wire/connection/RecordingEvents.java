package dev.agatepier.wire.connection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** Records what links report, heartbeats left out. */
final class RecordingEvents implements LinkEvents {

  private static final long PATIENCE_SECONDS = 20;

  final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
  final BlockingQueue<Link> links = new LinkedBlockingQueue<>();
  final BlockingQueue<LinkMessage> messages = new LinkedBlockingQueue<>();
  volatile boolean taking = true;

  @Override
  public void linked(PeerIdentity peer, Link link) {
    lines.add("linked " + peer.instance() + " " + peer.incarnation());
    links.add(link);
  }

  @Override
  public boolean message(PeerIdentity peer, LinkMessage message) {
    if (taking && !(message instanceof LinkMessage.Heartbeat)) {
      messages.add(message);
    }
    return taking;
  }

  @Override
  public void unlinked(PeerIdentity peer, String reason) {
    lines.add("unlinked " + peer.instance() + " " + peer.incarnation() + " " + reason);
  }

  void assertNext(String expected) {
    assertEquals(await(lines), expected);
  }

  Link link() {
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
