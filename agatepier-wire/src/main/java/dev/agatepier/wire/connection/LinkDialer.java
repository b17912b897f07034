package dev.agatepier.wire.connection;

import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.wire.connection.internal.Backoff;
import dev.agatepier.wire.connection.internal.LinkContext;
import dev.agatepier.wire.connection.internal.LinkTask;
import dev.agatepier.wire.connection.internal.TlsContexts;
import dev.agatepier.wire.process.LogEvent;
import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;

/**
 * Task that maintains a link to one address. It reconnects with jittered backoff when connecting
 * fails or the link closes.
 */
public final class LinkDialer implements ManagedService {

  private static final Logger LOGGER = LogManager.getLogger(LinkDialer.class);

  private final LinkContext context;
  private final String address;
  private final int port;
  private final BooleanSupplier needed;
  private final Backoff backoff;
  private final MailboxTask<DialerEvent> mailbox;
  private Optional<LinkTask> currentLink = Optional.empty();
  private Disposable pendingConnect = Disposables.disposed();
  private boolean stopped;

  /** An event in the mailbox of the task. */
  private sealed interface DialerEvent {}

  /** The backoff delay has passed, or the dialer was started. */
  private record ConnectDue() implements DialerEvent {}

  /** A TCP connection is open; the handshake is not complete yet. */
  private record Connected(LinkTask opened) implements DialerEvent {}

  /** The address could not be reached. */
  private record ConnectFailed(Throwable failure) implements DialerEvent {}

  /** The link has closed. */
  private record LinkClosed(LinkTask closed) implements DialerEvent {}

  /** The service is being stopped; completes the future when the link has closed. */
  private record StopRequested(CompletableFuture<Void> done) implements DialerEvent {}

  LinkDialer(LinkContext context, String address, int port, BooleanSupplier needed) {
    this.context = context;
    this.address = address;
    this.port = port;
    this.needed = needed;
    this.backoff = new Backoff(context.settings());
    this.mailbox =
        new MailboxTask<>(
            Integer.MAX_VALUE,
            context.scheduler().createWorker(),
            this::handle,
            failure -> LOGGER.error(logMessage(LogEvent.TASK_FAILED), failure));
  }

  /** Starts connecting; completes at once, because the peer may start later. */
  @Override
  public CompletableFuture<Void> start() {
    mailbox.post(new ConnectDue());
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    mailbox.post(new StopRequested(done));
    return done;
  }

  private void handle(DialerEvent event) {
    switch (event) {
      case ConnectDue() -> connect();
      case Connected(LinkTask opened) -> onConnected(opened);
      case ConnectFailed(Throwable failure) -> {
        LOGGER.debug(logMessage(LogEvent.LINK_CONNECT_FAILED), failure);
        scheduleConnect();
      }
      case LinkClosed(LinkTask closed) -> onLinkClosed(closed);
      case StopRequested(CompletableFuture<Void> done) -> onStopRequested(done);
    }
  }

  private void connect() {
    if (!stopped && !needed.getAsBoolean()) {
      scheduleConnect();
    } else if (!stopped) {
      pendingConnect =
          Mono.defer(() -> configuredClient().connect())
              .subscribe(this::onOpened, failure -> mailbox.post(new ConnectFailed(failure)));
    }
  }

  /** Runs on the event loop, so that no byte is read before the link's handlers are installed. */
  private void onOpened(Connection connection) {
    LinkTask opened = LinkTask.dialed(context, connection);
    mailbox.post(new Connected(opened));
    opened.closed().thenRun(() -> mailbox.post(new LinkClosed(opened)));
    opened.start();
  }

  private TcpClient configuredClient() {
    TcpClient plain =
        TcpClient.create(ConnectionProvider.newConnection())
            .runOn(context.eventLoops())
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

  private void onConnected(LinkTask opened) {
    currentLink = Optional.of(opened);
    if (stopped) {
      opened.close("stopped");
    }
  }

  private void onLinkClosed(LinkTask closed) {
    if (closed.isEstablished()) {
      backoff.reset();
    }
    scheduleConnect();
  }

  private void scheduleConnect() {
    if (!stopped) {
      pendingConnect =
          Mono.delay(Duration.ofMillis(backoff.nextDelayMillis()), context.scheduler())
              .subscribe(ignored -> mailbox.post(new ConnectDue()));
    }
  }

  private void onStopRequested(CompletableFuture<Void> done) {
    stopped = true;
    pendingConnect.dispose();
    currentLink
        .map(link -> link.closeGracefully("stopped"))
        .orElse(CompletableFuture.completedFuture(null))
        .thenRun(() -> done.complete(null));
  }

  private StringMapMessage logMessage(LogEvent event) {
    return event.message().with("address", address).with("port", port);
  }
}
