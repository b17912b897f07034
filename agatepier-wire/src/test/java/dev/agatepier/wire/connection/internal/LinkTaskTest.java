package dev.agatepier.wire.connection.internal;

import static org.testng.Assert.assertFalse;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.wire.connection.Link;
import dev.agatepier.wire.connection.LinkEventHandler;
import dev.agatepier.wire.connection.LinkSettings;
import dev.agatepier.wire.connection.MessagePackCodec;
import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.netty.Connection;

/** A connection that has ended names another channel; the link must still end in order. */
public class LinkTaskTest {

  private FakeConnection connection;

  @BeforeMethod
  public void openConnection() {
    connection = new FakeConnection();
  }

  @Test
  public void finishesThoughTheConnectionHasEnded() {
    LinkTask link = LinkTask.dialed(context(), connection);
    connection.end();
    assertFalse(link.closeGracefully("stopped").isDone(), "the end is told by the connection");
  }

  @Test
  public void isTakenIntoUseThoughTheConnectionHasEnded() {
    LinkTask link = LinkTask.dialed(context(), connection);
    connection.end();
    link.onActivated();
  }

  private static LinkContext context() {
    PeerIdentity self = new PeerIdentity("router-1", 1, Role.ROUTER, "kolkata-a", "kolkata", "");
    return new LinkContext(
        self,
        Bytes.ofText("secret"),
        LinkSettings.DEFAULT,
        () -> new Heartbeat(0, 0, false, 0),
        System::nanoTime,
        new MessagePackCodec(),
        new LinkDirectory(new NoOpLinkEvents()));
  }

  /** Names a channel without an event loop once it has ended, as the library's does. */
  private static final class FakeConnection implements Connection {
    private final Channel open = new EmbeddedChannel();
    private final Channel ended = new NioSocketChannel();
    private boolean hasEnded;

    @Override
    public Channel channel() {
      return hasEnded ? ended : open;
    }

    private void end() {
      open.close();
      hasEnded = true;
    }
  }

  /** Nothing is told of a link that was never in use. */
  private static final class NoOpLinkEvents implements LinkEventHandler {
    @Override
    public void onPeerConnected(PeerIdentity peer, Link link) {}

    @Override
    public boolean onMessage(PeerIdentity peer, LinkMessage message) {
      return true;
    }

    @Override
    public void onPeerDisconnected(PeerIdentity peer, String reason) {}
  }
}
