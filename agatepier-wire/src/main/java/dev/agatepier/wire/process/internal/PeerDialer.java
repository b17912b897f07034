package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.LinkPlan;
import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.wire.connection.LinkDialer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import reactor.core.scheduler.Scheduler;

/**
 * Task that dials the peers selected by the plan. An instance that disappears from the list keeps
 * its link until the link fails, because the list may be wrong.
 */
public final class PeerDialer implements ManagedService {

  private final LinkPlan plan;
  private final Function<Instance, LinkDialer> dialerFactory;
  private final Predicate<String> isConnected;
  private final Map<String, DialedPeer> dialedPeers = new HashMap<>();
  private final Set<String> noLongerSelected = new HashSet<>();
  private final MailboxTask<DialerEvent> task;

  /** Event of the task. */
  private sealed interface DialerEvent {}

  /** A version of the instance list has become active. */
  private record InstancesActivated(InstanceList list) implements DialerEvent {}

  /** A link has closed. */
  private record LinkClosed(String instance) implements DialerEvent {}

  /** The task is being stopped; completes the future when all dialers have stopped. */
  private record StopRequested(CompletableFuture<Void> done) implements DialerEvent {}

  /** Dialer with the address it dials. */
  private record DialedPeer(String address, int port, LinkDialer dialer) {
    boolean hasAddressOf(Instance instance) {
      return address.equals(instance.address()) && port == instance.port();
    }
  }

  /**
   * Creates the task; it dials no peer before the first instance list.
   *
   * @param plan selects the instances to dial
   * @param dialerFactory creates the dialer of an instance
   * @param isConnected whether there is an active link to an instance
   * @param scheduler creates the worker of the task
   * @param failureHandler called with exceptions of the task
   */
  public PeerDialer(
      LinkPlan plan,
      Function<Instance, LinkDialer> dialerFactory,
      Predicate<String> isConnected,
      Scheduler scheduler,
      Consumer<Throwable> failureHandler) {
    this.plan = plan;
    this.dialerFactory = dialerFactory;
    this.isConnected = isConnected;
    this.task =
        new MailboxTask<>(
            Integer.MAX_VALUE, scheduler.createWorker(), this::handle, failureHandler);
  }

  @Override
  public CompletableFuture<Void> start() {
    return CompletableFuture.completedFuture(null);
  }

  /** Updates the dialers to a version of the instance list. */
  public void onInstancesActivated(InstanceList list) {
    task.post(new InstancesActivated(list));
  }

  /** Stops the dialer of an instance that is no longer selected, as its link has closed. */
  public void onLinkClosed(String instance) {
    task.post(new LinkClosed(instance));
  }

  /** Stops all dialers and closes their links. */
  @Override
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    task.post(new StopRequested(done));
    return done.thenRun(task::close);
  }

  private void handle(DialerEvent event) {
    switch (event) {
      case InstancesActivated(InstanceList list) -> updateDialers(list);
      case LinkClosed(String instance) -> stopIfNoLongerSelected(instance);
      case StopRequested(CompletableFuture<Void> done) -> stopAll(done);
    }
  }

  private void updateDialers(InstanceList list) {
    noLongerSelected.addAll(dialedPeers.keySet());
    for (Instance instance : plan.selectTargets(list)) {
      noLongerSelected.remove(instance.name());
      DialedPeer current = dialedPeers.get(instance.name());
      if (current == null || !current.hasAddressOf(instance)) {
        dial(instance, current);
      }
    }
    Set.copyOf(noLongerSelected).stream()
        .filter(isConnected.negate())
        .forEach(this::stopIfNoLongerSelected);
  }

  private void dial(Instance instance, DialedPeer previous) {
    if (previous != null) {
      previous.dialer().stop();
    }
    LinkDialer dialer = dialerFactory.apply(instance);
    dialedPeers.put(instance.name(), new DialedPeer(instance.address(), instance.port(), dialer));
    dialer.start();
  }

  private void stopIfNoLongerSelected(String instance) {
    if (noLongerSelected.remove(instance)) {
      dialedPeers.remove(instance).dialer().stop();
    }
  }

  private void stopAll(CompletableFuture<Void> done) {
    CompletableFuture<?>[] stops =
        dialedPeers.values().stream()
            .map(peer -> peer.dialer().stop())
            .toArray(CompletableFuture[]::new);
    CompletableFuture.allOf(stops).whenComplete((ignored, failure) -> done.complete(null));
  }
}
