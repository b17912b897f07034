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
 * Discovers the other routers of the fleet from seed addresses. A seed is dialed while there is no
 * link to the router at its address; the known routers are published as an instance list, like that
 * of the platform.
 */
public final class SeedDiscovery implements ManagedService {

  /** Capacity of the mailbox of the task. */
  private static final int MAILBOX_CAPACITY = 4_096;

  /** Interval of the timer event that expires routers, in milliseconds. */
  private static final long TICK_MILLIS = 1_000;

  private final LinkRegistry links;
  private final Consumer<InstanceList> listener;
  private final DecisionTask<RouterDirectoryEvent, RouterDirectoryEffect> task;
  private final List<LinkDialer> dialers;
  private final Map<Endpoint, String> namesByAddress = new ConcurrentHashMap<>();
  private long version;

  /**
   * Creates the task without dialing any seed.
   *
   * @param self this router, with the address that peers dial
   * @param seeds addresses of the seed routers
   * @param network creates the dialers
   * @param links active links
   * @param listener receives the list of known routers
   * @param scheduler runs the task
   * @param failureHandler called with exceptions of the task
   */
  public SeedDiscovery(
      Instance self,
      List<Endpoint> seeds,
      LinkNetwork network,
      LinkRegistry links,
      Consumer<InstanceList> listener,
      Scheduler scheduler,
      Consumer<Throwable> failureHandler) {
    this.links = links;
    this.listener = listener;
    Endpoint own = new Endpoint(self.address(), self.port());
    dialers =
        seeds.stream()
            .filter(seed -> !seed.equals(own))
            .map(seed -> network.dialer(seed.address(), seed.port(), () -> !isConnected(seed)))
            .toList();
    task =
        new DecisionTask<>(
            new RouterDirectory(self),
            this::perform,
            MAILBOX_CAPACITY,
            scheduler,
            System::nanoTime,
            failureHandler);
    task.startTicks(new RouterDirectoryEvent.Tick(), TICK_MILLIS, TICK_MILLIS);
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

  /** Records that a link to a router is authenticated. */
  public void onPeerConnected(PeerIdentity peer) {
    if (peer.role() == Role.ROUTER) {
      task.post(new RouterDirectoryEvent.PeerConnected(peer));
    }
  }

  /** Records that a link to a router is closed. */
  public void onPeerDisconnected(PeerIdentity peer) {
    if (peer.role() == Role.ROUTER) {
      task.post(new RouterDirectoryEvent.PeerDisconnected(peer));
    }
  }

  /** Handles the routers reported by a peer; returns false if they cannot be accepted now. */
  public boolean onRoutersReported(PeerIdentity peer, KnownRouters message) {
    return task.offer(new RouterDirectoryEvent.RoutersReported(peer.instance(), message.routers()));
  }

  private boolean isConnected(Endpoint seed) {
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
