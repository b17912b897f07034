package dev.agatepier.wire.connection;

import dev.agatepier.core.process.ManagedService;
import dev.agatepier.wire.connection.internal.Backoff;
import dev.agatepier.wire.connection.internal.LinkContext;
import dev.agatepier.wire.connection.internal.LinkTask;
import dev.agatepier.wire.connection.internal.TlsContexts;
import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.Connection;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;

/** Keeps a link to one address: connects, and connects again after a jittered back-off. */
public final class LinkDialer implements ManagedService {

  private static final Logger LOGGER = LogManager.getLogger(LinkDialer.class);

  private final LinkContext context;
  private final String address;
  private final int port;
  private final Backoff backoff;
  private LinkTask task;
  private Disposable pending;
  private boolean stopped;

  LinkDialer(LinkContext context, String address, int port) {
    this.context = context;
    this.address = address;
    this.port = port;
    this.backoff = new Backoff(context.settings());
  }

  /** Starts connecting; completes at once, as the other end may come later. */
  @Override
  public synchronized CompletableFuture<Void> start() {
    connect();
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> stop() {
    LinkTask last = stopConnecting();
    if (last == null) {
      return CompletableFuture.completedFuture(null);
    }
    return last.finish("stopped");
  }

  private synchronized LinkTask stopConnecting() {
    stopped = true;
    if (pending != null) {
      pending.dispose();
    }
    return task;
  }

  private synchronized void connect() {
    if (!stopped) {
      pending = Mono.defer(() -> configure().connect()).subscribe(this::connected, this::failed);
    }
  }

  private TcpClient configure() {
    TcpClient plain =
        TcpClient.create(ConnectionProvider.newConnection())
            .host(address)
            .port(port)
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) Math.min(Integer.MAX_VALUE, context.settings().handshakeMillis()));
    return context
        .settings()
        .tls()
        .map(tls -> plain.secure(spec -> spec.sslContext(TlsContexts.client(tls))))
        .orElse(plain);
  }

  private synchronized void connected(Connection connection) {
    if (stopped) {
      connection.dispose();
      return;
    }
    LinkTask opened = LinkTask.dialed(context, connection);
    task = opened;
    opened.closed().thenRun(() -> ended(opened));
    opened.begin();
  }

  private synchronized void ended(LinkTask ended) {
    if (ended.wasLinked()) {
      backoff.reset();
    }
    connectLater();
  }

  private synchronized void failed(Throwable failure) {
    LOGGER.debug(
        new StringMapMessage()
            .with("event", "link-connect-failed")
            .with("address", address)
            .with("port", port),
        failure);
    connectLater();
  }

  private void connectLater() {
    if (!stopped) {
      pending =
          Mono.delay(Duration.ofMillis(backoff.nextMillis()), Schedulers.parallel())
              .subscribe(ignored -> connect());
    }
  }
}
