package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.wire.connection.CodecException;
import dev.agatepier.wire.connection.Link;
import dev.agatepier.wire.connection.LinkCounters;
import dev.agatepier.wire.connection.LinkException;
import dev.agatepier.wire.process.LogEvent;
import io.netty.channel.Channel;
import io.netty.channel.socket.DuplexChannel;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.reactivestreams.Subscription;
import reactor.core.publisher.BaseSubscriber;
import reactor.netty.Connection;

/**
 * Owns one socket between two processes. All state changes on the event loop of the socket; other
 * threads only leave messages in the outbound queue or ask for the close.
 */
public final class LinkTask implements Link {

  private static final Logger LOGGER = LogManager.getLogger(LinkTask.class);

  /** Time before a message that could not be taken is offered again, in milliseconds. */
  private static final long OFFER_AGAIN_MILLIS = 5;

  private final LinkContext context;
  private final Connection connection;

  /** The socket; a connection that has ended names another channel, without an event loop. */
  private final Channel channel;

  private final boolean dialing;
  private final Handshake handshake;
  private final OutboundQueue outbound;
  private final FrameDecoder frames = new FrameDecoder();
  private final TrafficCounter sent = new TrafficCounter();
  private final TrafficCounter received = new TrafficCounter();
  private final AtomicReference<String> closeReason = new AtomicReference<>();
  private final AtomicBoolean ended = new AtomicBoolean();
  private final CompletableFuture<Void> closed = new CompletableFuture<>();
  private final Inbound inbound = new Inbound();
  private volatile long heardNanos;
  private volatile PeerIdentity peer;
  private volatile boolean holding;

  /** The socket is closed; what it had received may still wait to be taken. */
  private volatile boolean disconnected;

  private LinkTask(LinkContext context, Connection connection, boolean dialing) {
    this.context = context;
    this.connection = connection;
    this.channel = connection.channel();
    this.dialing = dialing;
    this.handshake = new Handshake(context, dialing);
    this.outbound =
        new OutboundQueue(
            channel, context.settings().queueMessages(), context.settings().queueBytes());
  }

  /** Returns the task of a connection that this process accepted. */
  public static LinkTask accepted(LinkContext context, Connection connection) {
    return new LinkTask(context, connection, false);
  }

  /** Returns the task of a connection that this process opened. */
  public static LinkTask dialed(LinkContext context, Connection connection) {
    return new LinkTask(context, connection, true);
  }

  /** Starts the handshake. */
  public void start() {
    heardNanos = context.clock().nanoTime();
    connection.addHandlerLast("agatepier-frames", frames);
    connection.onDispose(this::disconnected);
    connection.inbound().receiveObject().subscribe(inbound);
    write(handshake.hello());
    later(context.settings().handshakeMillis(), this::requireLinked);
  }

  @Override
  public boolean send(LinkMessage message) {
    if (peer == null || closeReason.get() != null || disconnected || silent()) {
      return false;
    }
    return write(message);
  }

  @Override
  public void close(String reason) {
    if (closeReason.compareAndSet(null, reason)) {
      channel.close();
      if (disconnected) {
        ended();
      }
    }
  }

  /**
   * Sends nothing further and closes once the peer has taken every frame. The socket is read to its
   * end meanwhile: closing it with unread bytes would reset the connection and lose last frames.
   */
  public CompletableFuture<Void> closeGracefully(String reason) {
    if (closeReason.compareAndSet(null, reason)) {
      if (disconnected) {
        ended();
      }
      outbound.onFlushed(this::endOutput);
      inbound.request(Long.MAX_VALUE);
      awaitPeer();
    }
    return closed;
  }

  private void endOutput() {
    if (channel instanceof DuplexChannel duplex && duplex.isActive()) {
      duplex.shutdownOutput();
    } else {
      channel.close();
    }
  }

  /** Closes the socket if the peer neither ends the connection nor is heard. */
  private void awaitPeer() {
    long silence = context.clock().nanoTime() - heardNanos;
    if (silence > context.settings().heartbeatTimeoutNanos()) {
      channel.close();
    } else if (!closed.isDone()) {
      later(context.settings().heartbeatMillis(), this::awaitPeer);
    }
  }

  @Override
  public PeerIdentity peer() {
    return peer;
  }

  @Override
  public LinkCounters counters() {
    boolean across = peer != null && !peer.region().equals(context.self().region());
    return new LinkCounters(across, sent.traffic(), received.traffic());
  }

  /**
   * Returns whether this is the link to keep of two that routers have opened to each other: the one
   * that the router of the lesser name dialed.
   */
  boolean isPreferred() {
    boolean selfIsLess = context.self().instance().compareTo(peer.instance()) < 0;
    return peer.role() == Role.ROUTER
        && context.self().role() == Role.ROUTER
        && dialing == selfIsLess;
  }

  /** Returns whether the handshake succeeded. */
  public boolean isEstablished() {
    return peer != null;
  }

  /** Completes when the socket is closed and everybody is told. */
  public CompletableFuture<Void> closed() {
    return closed;
  }

  private boolean write(LinkMessage message) {
    byte[] content = context.codec().encode(message);
    if (content.length > context.settings().maximumFrameBytes()) {
      throw new CodecException("message of " + content.length + " bytes is longer than a frame");
    }
    if (!outbound.offer(content)) {
      close("link-overflow");
      return false;
    }
    sent.count(message, content.length);
    return true;
  }

  private void received(byte[] content) {
    if (closeReason.get() != null) {
      heardNanos = context.clock().nanoTime();
      return;
    }
    if (silent()) {
      return;
    }
    heardNanos = context.clock().nanoTime();
    LinkMessage message = context.codec().decode(content);
    received.count(message, content.length);
    if (!handshake.helloReceived()) {
      write(handshake.onHello(message));
      inbound.request(1);
    } else if (peer == null) {
      established(handshake.verifyProof(message));
    } else {
      deliver(message);
    }
  }

  private void established(PeerIdentity proved) {
    frames.setMaximumFrameBytes(context.settings().maximumFrameBytes());
    peer = proved;
    context.directory().onLinkAuthenticated(this);
  }

  /** Called by the directory: the link is the one in use to its peer. */
  void onActivated() {
    channel.eventLoop().execute(() -> guard(this::beginMessages));
  }

  private void beginMessages() {
    LOGGER.info(
        LogEvent.LINK_UP
            .message()
            .with("peer", peer.instance())
            .with("incarnation", peer.incarnation()));
    beat();
    inbound.request(1);
  }

  private void deliver(LinkMessage message) {
    holding = !context.directory().onMessage(this, message);
    if (closeReason.get() != null) {
      return;
    }
    if (holding) {
      later(OFFER_AGAIN_MILLIS, () -> deliver(message));
    } else {
      heardNanos = context.clock().nanoTime();
      inbound.request(1);
    }
  }

  private void beat() {
    if (closeReason.get() == null && !silent()) {
      write(context.heartbeat().get());
      later(context.settings().heartbeatMillis(), this::beat);
    }
  }

  /** Closes the link if nothing was heard for too long; what a paused process wakes with is old. */
  private boolean silent() {
    long silence = context.clock().nanoTime() - heardNanos;
    if (holding || silence <= context.settings().heartbeatTimeoutNanos()) {
      return false;
    }
    close("heartbeat-lost");
    return true;
  }

  private void requireLinked() {
    if (peer == null) {
      close("handshake-timeout");
    }
  }

  private void later(long millis, Runnable step) {
    channel.eventLoop().schedule(() -> guard(step), millis, TimeUnit.MILLISECONDS);
  }

  private void guard(Runnable step) {
    try {
      step.run();
    } catch (CodecException failure) {
      close("malformed-message: " + failure.getMessage());
    } catch (LinkException failure) {
      close(failure.getMessage());
    } catch (RuntimeException failure) {
      LOGGER.error(LogEvent.LINK_FAILURE.message(), failure);
      close("link-failure: " + failure.getMessage());
    }
  }

  /** What the peer sent before it closed is taken first; then the inbound side says the end. */
  private void disconnected() {
    disconnected = true;
    if (closeReason.get() != null) {
      ended();
    }
  }

  private void ended() {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    String reason = closeReason.get();
    LOGGER.info(
        LogEvent.LINK_CLOSED
            .message()
            .with("peer", peer == null ? "" : peer.instance())
            .with("remote", String.valueOf(channel.remoteAddress()))
            .with("reason", reason));
    if (peer != null) {
      context.directory().onLinkClosed(this, reason);
    }
    closed.complete(null);
  }

  /** Reads one frame at a time, so that an unread socket holds the peer back. */
  private final class Inbound extends BaseSubscriber<Object> {
    @Override
    protected void hookOnSubscribe(Subscription subscription) {
      request(1);
    }

    @Override
    protected void hookOnNext(Object frame) {
      guard(() -> received((byte[]) frame));
    }

    @Override
    protected void hookOnComplete() {
      close("connection-closed");
    }

    @Override
    protected void hookOnError(Throwable failure) {
      if (failure.getCause() instanceof CodecException malformed) {
        close("malformed-frame: " + malformed.getMessage());
      } else {
        close(failure instanceof IOException ? "connection-closed" : "connection-failed");
      }
    }
  }
}
