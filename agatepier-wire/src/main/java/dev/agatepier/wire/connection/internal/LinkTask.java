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
 * threads only add messages to the outbound queue or request the close.
 */
public final class LinkTask implements Link {

  private static final Logger LOGGER = LogManager.getLogger(LinkTask.class);

  /** Delay before a message that the receiver did not accept is delivered again. */
  private static final long REDELIVERY_MILLIS = 5;

  private final LinkContext context;
  private final Connection connection;

  /** The socket. A closed {@link Connection} returns another channel, without an event loop. */
  private final Channel channel;

  private final boolean dialing;
  private final Handshake handshake;
  private final OutboundQueue outbound;
  private final FrameDecoder frameDecoder = new FrameDecoder();
  private final TrafficCounter sent = new TrafficCounter();
  private final TrafficCounter received = new TrafficCounter();
  private final AtomicReference<String> closeReason = new AtomicReference<>();
  private final AtomicBoolean closeHandled = new AtomicBoolean();
  private final CompletableFuture<Void> closed = new CompletableFuture<>();
  private final Inbound inbound = new Inbound();
  private volatile long lastReceivedNanos;
  private volatile PeerIdentity peer;
  private volatile boolean deliveryPending;

  /** The socket is closed; frames received before that may not have been processed yet. */
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

  /** Returns the task for a connection that this process accepted. */
  public static LinkTask accepted(LinkContext context, Connection connection) {
    return new LinkTask(context, connection, false);
  }

  /** Returns the task for a connection that this process dialed. */
  public static LinkTask dialed(LinkContext context, Connection connection) {
    return new LinkTask(context, connection, true);
  }

  /** Installs the frame decoder, sends the hello and schedules the handshake timeout. */
  public void start() {
    lastReceivedNanos = context.clock().nanoTime();
    connection.addHandlerLast("agatepier-frames", frameDecoder);
    connection.onDispose(this::onDisconnected);
    connection.inbound().receiveObject().subscribe(inbound);
    write(handshake.hello());
    schedule(context.settings().handshakeMillis(), this::closeUnlessEstablished);
  }

  @Override
  public boolean send(LinkMessage message) {
    if (peer == null || closeReason.get() != null || disconnected || closeIfSilent()) {
      return false;
    }
    return write(message);
  }

  @Override
  public void close(String reason) {
    if (closeReason.compareAndSet(null, reason)) {
      channel.close();
      if (disconnected) {
        onClosed();
      }
    }
  }

  /**
   * Stops sending and closes the link once every queued frame is flushed and the peer has closed
   * its end. Input is read until then: closing a socket with unread bytes resets the connection and
   * loses the last frames.
   */
  public CompletableFuture<Void> closeGracefully(String reason) {
    if (closeReason.compareAndSet(null, reason)) {
      if (disconnected) {
        onClosed();
      }
      outbound.onFlushed(this::shutdownOutput);
      inbound.request(Long.MAX_VALUE);
      awaitPeerClose();
    }
    return closed;
  }

  private void shutdownOutput() {
    if (channel instanceof DuplexChannel duplex && duplex.isActive()) {
      duplex.shutdownOutput();
    } else {
      channel.close();
    }
  }

  /** Closes the socket if the peer neither sends nor closes within the heartbeat timeout. */
  private void awaitPeerClose() {
    long silence = context.clock().nanoTime() - lastReceivedNanos;
    if (silence > context.settings().heartbeatTimeoutNanos()) {
      channel.close();
    } else if (!closed.isDone()) {
      schedule(context.settings().heartbeatMillis(), this::awaitPeerClose);
    }
  }

  @Override
  public PeerIdentity peer() {
    return peer;
  }

  @Override
  public LinkCounters counters() {
    boolean crossRegion = peer != null && !peer.region().equals(context.self().region());
    return new LinkCounters(crossRegion, sent.traffic(), received.traffic());
  }

  /**
   * Returns whether to keep this link if two routers have dialed each other: the one dialed by the
   * router whose name sorts first is kept.
   */
  boolean isPreferred() {
    boolean selfSortsFirst = context.self().instance().compareTo(peer.instance()) < 0;
    return peer.role() == Role.ROUTER
        && context.self().role() == Role.ROUTER
        && dialing == selfSortsFirst;
  }

  /** Returns whether the handshake succeeded. */
  public boolean isEstablished() {
    return peer != null;
  }

  /** Completes when the socket is closed and the directory has been notified. */
  public CompletableFuture<Void> closed() {
    return closed;
  }

  private boolean write(LinkMessage message) {
    byte[] content = context.codec().encode(message);
    if (content.length > context.settings().maximumFrameBytes()) {
      throw new CodecException(
          "message of "
              + content.length
              + " bytes exceeds the maximum frame size of "
              + context.settings().maximumFrameBytes());
    }
    if (!outbound.offer(content)) {
      close("link-overflow");
      return false;
    }
    sent.count(message, content.length);
    return true;
  }

  private void onFrame(byte[] content) {
    if (closeReason.get() != null) {
      lastReceivedNanos = context.clock().nanoTime();
      return;
    }
    if (closeIfSilent()) {
      return;
    }
    lastReceivedNanos = context.clock().nanoTime();
    LinkMessage message = context.codec().decode(content);
    received.count(message, content.length);
    if (!handshake.helloReceived()) {
      write(handshake.onHello(message));
      inbound.request(1);
    } else if (peer == null) {
      onPeerVerified(handshake.verify(message));
    } else {
      deliver(message);
    }
  }

  private void onPeerVerified(PeerIdentity verified) {
    frameDecoder.setMaximumFrameBytes(context.settings().maximumFrameBytes());
    peer = verified;
    context.directory().onLinkAuthenticated(this);
  }

  /** Called by the directory when this is the active link to its peer. */
  void onActivated() {
    channel.eventLoop().execute(() -> runGuarded(this::startMessages));
  }

  private void startMessages() {
    LOGGER.info(
        LogEvent.LINK_UP
            .message()
            .with("peer", peer.instance())
            .with("incarnation", peer.incarnation()));
    sendHeartbeat();
    inbound.request(1);
  }

  private void deliver(LinkMessage message) {
    deliveryPending = !context.directory().onMessage(this, message);
    if (closeReason.get() != null) {
      return;
    }
    if (deliveryPending) {
      schedule(REDELIVERY_MILLIS, () -> deliver(message));
    } else {
      lastReceivedNanos = context.clock().nanoTime();
      inbound.request(1);
    }
  }

  /** Sends a heartbeat, or closes the link if it has been silent for too long. */
  void sendHeartbeat() {
    runGuarded(
        () -> {
          if (closeReason.get() == null && !closeIfSilent()) {
            write(context.heartbeat().get());
          }
        });
  }

  /**
   * Closes the link if nothing was received within the heartbeat timeout; returns whether it did.
   * Also checked before sends and reads, since the messages that a process reads after a long pause
   * are outdated.
   */
  private boolean closeIfSilent() {
    long silence = context.clock().nanoTime() - lastReceivedNanos;
    if (deliveryPending || silence <= context.settings().heartbeatTimeoutNanos()) {
      return false;
    }
    close("heartbeat-lost");
    return true;
  }

  private void closeUnlessEstablished() {
    if (peer == null) {
      close("handshake-timeout");
    }
  }

  private void schedule(long millis, Runnable action) {
    channel.eventLoop().schedule(() -> runGuarded(action), millis, TimeUnit.MILLISECONDS);
  }

  private void runGuarded(Runnable action) {
    try {
      action.run();
    } catch (CodecException failure) {
      close("malformed-message: " + failure.getMessage());
    } catch (LinkException failure) {
      close(failure.getMessage());
    } catch (RuntimeException failure) {
      LOGGER.error(LogEvent.LINK_FAILURE.message(), failure);
      close("link-failure: " + failure.getMessage());
    }
  }

  /**
   * Handles the close of the socket. Frames received before it are still processed; the inbound
   * subscriber closes the link after them.
   */
  private void onDisconnected() {
    disconnected = true;
    if (closeReason.get() != null) {
      onClosed();
    }
  }

  private void onClosed() {
    if (!closeHandled.compareAndSet(false, true)) {
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

  /** Requests one frame at a time, so that back pressure on the socket slows the peer down. */
  private final class Inbound extends BaseSubscriber<Object> {
    @Override
    protected void hookOnSubscribe(Subscription subscription) {
      request(1);
    }

    @Override
    protected void hookOnNext(Object frame) {
      runGuarded(() -> onFrame((byte[]) frame));
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
