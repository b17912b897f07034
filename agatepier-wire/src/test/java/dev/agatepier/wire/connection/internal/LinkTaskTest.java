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
import reactor.core.scheduler.Schedulers;
import reactor.netty.Connection;
import reactor.netty.tcp.TcpResources;

/**
 * Guards against a link that fails to close because it uses the channel of a disposed Reactor Netty
 * connection: {@link Connection#channel} then returns another channel, without an event loop.
 */
public class LinkTaskTest {

  private FakeConnection connection;

  @BeforeMethod
  public void openConnection() {
    connection = new FakeConnection();
  }

  @Test
  public void closesGracefullyAfterConnectionEnded() {
    LinkTask link = LinkTask.dialed(context(), connection);
    connection.end();
    assertFalse(
        link.closeGracefully("stopped").isDone(),
        "the link closes only when the connection reports its end");
  }

  @Test
  public void activatesAfterConnectionEnded() {
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
        new LinkDirectory(
            new NoOpLinkEvents(), LinkSettings.DEFAULT.heartbeatMillis(), Schedulers.parallel()),
        TcpResources.get(),
        Schedulers.parallel());
  }

  /** Returns a channel without an event loop once it has ended, as Reactor Netty does. */
  private static final class FakeConnection implements Connection {
    private final Channel openChannel = new EmbeddedChannel();
    private final Channel endedChannel = new NioSocketChannel();
    private boolean hasEnded;

    @Override
    public Channel channel() {
      return hasEnded ? endedChannel : openChannel;
    }

    private void end() {
      openChannel.close();
      hasEnded = true;
    }
  }

  /** Ignores every event; a link that was never active reports none. */
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
