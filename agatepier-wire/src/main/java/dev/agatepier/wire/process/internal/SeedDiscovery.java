package dev.agatepier.wire.process.internal;

import dev.agatepier.core.connection.LinkMessage.KnownRouters;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.process.DecisionTask;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.RouterDirectory;
import dev.agatepier.core.process.RouterDirectoryEffect;
import dev.agatepier.core.process.RouterDirectoryEvent;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.wire.connection.LinkDialer;
import dev.agatepier.wire.connection.LinkNetwork;
import dev.agatepier.wire.process.Endpoint;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import reactor.core.scheduler.Scheduler;

/**
 * Finds the fleet's other routers from seed addresses. A seed is dialed while there is no link to
 * the router at its address; whom else to dial is published like a list of the platform.
 */
public final class SeedDiscovery implements ManagedService {

  /** Events that may wait for the task. */
  private static final int MAILBOX_CAPACITY = 4_096;

  /** Time between two looks at what is to be forgotten, in milliseconds. */
  private static final long TICK_MILLIS = 1_000;

  private final LinkRegistry links;
  private final Consumer<InstanceList> listener;
  private final DecisionTask<RouterDirectoryEvent, RouterDirectoryEffect> task;
  private final List<LinkDialer> dialers;
  private final Map<Endpoint, String> namesByAddress = new ConcurrentHashMap<>();
  private long version;

  /**
   * Creates the task; it dials nobody yet.
   *
   * @param self the own router as peers should dial it
   * @param seeds addresses of routers
   * @param network makes dialers
   * @param links the links in use
   * @param listener told of the routers that are known
   * @param scheduler runs the task
   * @param failures told of what goes wrong
   */
  public SeedDiscovery(
      Instance self,
      List<Endpoint> seeds,
      LinkNetwork network,
      LinkRegistry links,
      Consumer<InstanceList> listener,
      Scheduler scheduler,
      Consumer<Throwable> failures) {
    this.links = links;
    this.listener = listener;
    Endpoint own = new Endpoint(self.address(), self.port());
    dialers =
        seeds.stream()
            .filter(seed -> !seed.equals(own))
            .map(seed -> network.dialer(seed.address(), seed.port(), () -> !reached(seed)))
            .toList();
    task =
        new DecisionTask<>(
            new RouterDirectory(self),
            this::perform,
            MAILBOX_CAPACITY,
            scheduler,
            System::nanoTime,
            failures);
    task.repeat(new RouterDirectoryEvent.TimePassed(), TICK_MILLIS, TICK_MILLIS);
  }

  @Override
  public CompletableFuture<Void> start() {
    return CompletableFuture.allOf(
        dialers.stream().map(LinkDialer::start).toArray(CompletableFuture[]::new));
  }

  @Override
  public CompletableFuture<Void> stop() {
    return CompletableFuture.allOf(
            dialers.stream().map(LinkDialer::stop).toArray(CompletableFuture[]::new))
        .thenCompose(ignored -> task.stop());
  }

  /** Takes note of a link. */
  public void onPeerConnected(PeerIdentity peer) {
    if (peer.role() == Role.ROUTER) {
      task.post(new RouterDirectoryEvent.PeerConnected(peer));
    }
  }

  /** Takes note that a link is gone. */
  public void onPeerDisconnected(PeerIdentity peer) {
    if (peer.role() == Role.ROUTER) {
      task.post(new RouterDirectoryEvent.PeerDisconnected(peer));
    }
  }

  /** Takes what a router says of others; returns false if it cannot be taken now. */
  public boolean onRoutersReported(PeerIdentity peer, KnownRouters message) {
    return task.offer(new RouterDirectoryEvent.RoutersReported(peer.instance(), message.routers()));
  }

  private boolean reached(Endpoint seed) {
    String name = namesByAddress.get(seed);
    return name != null && links.isConnected(name);
  }

  private void perform(RouterDirectoryEffect effect) {
    switch (effect) {
      case RouterDirectoryEffect.Send(String instance, KnownRouters message) ->
          links.send(instance, message);
      case RouterDirectoryEffect.Publish(List<Instance> routers) -> {
        namesByAddress.clear();
        routers.forEach(
            router ->
                namesByAddress.put(new Endpoint(router.address(), router.port()), router.name()));
        listener.accept(new InstanceList(++version, routers));
      }
    }
  }
}
