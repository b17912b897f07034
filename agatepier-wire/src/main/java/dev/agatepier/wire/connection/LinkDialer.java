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
import reactor.core.scheduler.Schedulers;
import reactor.netty.Connection;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.tcp.TcpClient;

/**
 * The task that keeps a link to one address: it connects, and connects again after a jittered
 * back-off.
 */
public final class LinkDialer implements ManagedService {

  private static final Logger LOGGER = LogManager.getLogger(LinkDialer.class);

  private final LinkContext context;
  private final String address;
  private final int port;
  private final BooleanSupplier needed;
  private final Backoff backoff;
  private final MailboxTask<DialerEvent> mailbox;
  private Optional<LinkTask> current = Optional.empty();
  private Disposable pending = Disposables.disposed();
  private boolean stopped;

  /** One thing to do for the task. */
  private sealed interface DialerEvent {}

  /** It is time to connect. */
  private record ConnectDue() implements DialerEvent {}

  /** The address was reached. */
  private record Connected(LinkTask opened) implements DialerEvent {}

  /** The address was not reached. */
  private record ConnectFailed(Throwable failure) implements DialerEvent {}

  /** The link is gone. */
  private record LinkClosed(LinkTask ended) implements DialerEvent {}

  /** The link is no longer wanted. */
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
            Schedulers.parallel().createWorker(),
            this::handle,
            failure -> LOGGER.error(event(LogEvent.TASK_FAILED), failure));
  }

  /** Starts connecting; completes at once, as the other end may come later. */
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

  private void handle(DialerEvent step) {
    switch (step) {
      case ConnectDue() -> connect();
      case Connected(LinkTask opened) -> connected(opened);
      case ConnectFailed(Throwable failure) -> {
        LOGGER.debug(event(LogEvent.LINK_CONNECT_FAILED), failure);
        connectLater();
      }
      case LinkClosed(LinkTask ended) -> ended(ended);
      case StopRequested(CompletableFuture<Void> done) -> endLink(done);
    }
  }

  private void connect() {
    if (!stopped && !needed.getAsBoolean()) {
      connectLater();
    } else if (!stopped) {
      pending =
          Mono.defer(() -> configure().connect())
              .subscribe(this::open, failure -> mailbox.post(new ConnectFailed(failure)));
    }
  }

  /** Runs on the event loop, so that no byte is read before the link's handlers are there. */
  private void open(Connection connection) {
    LinkTask opened = LinkTask.dialed(context, connection);
    mailbox.post(new Connected(opened));
    opened.closed().thenRun(() -> mailbox.post(new LinkClosed(opened)));
    opened.start();
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

  private void connected(LinkTask opened) {
    current = Optional.of(opened);
    if (stopped) {
      opened.close("stopped");
    }
  }

  private void ended(LinkTask ended) {
    if (ended.isEstablished()) {
      backoff.reset();
    }
    connectLater();
  }

  private void connectLater() {
    if (!stopped) {
      pending =
          Mono.delay(Duration.ofMillis(backoff.nextDelayMillis()), Schedulers.parallel())
              .subscribe(ignored -> mailbox.post(new ConnectDue()));
    }
  }

  private void endLink(CompletableFuture<Void> done) {
    stopped = true;
    pending.dispose();
    current
        .map(link -> link.closeGracefully("stopped"))
        .orElse(CompletableFuture.completedFuture(null))
        .thenRun(() -> done.complete(null));
  }

  private StringMapMessage event(LogEvent event) {
    return event.message().with("address", address).with("port", port);
  }
}
