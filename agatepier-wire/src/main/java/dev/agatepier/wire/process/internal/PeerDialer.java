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
 * The task that keeps the links which the plan wants. An instance that vanishes from the list keeps
 * its link until that ends by itself, as the list may be wrong.
 */
public final class PeerDialer implements ManagedService {

  private final LinkPlan plan;
  private final Function<Instance, LinkDialer> dialers;
  private final Predicate<String> linked;
  private final Map<String, DialedPeer> dialed = new HashMap<>();
  private final Set<String> unwanted = new HashSet<>();
  private final MailboxTask<DialerEvent> mailbox;

  /** One thing to do for the task. */
  private sealed interface DialerEvent {}

  /** A version of the instance list is in force. */
  private record InstancesActivated(InstanceList list) implements DialerEvent {}

  /** A link is gone. */
  private record LinkClosed(String instance) implements DialerEvent {}

  /** The process stops. */
  private record StopRequested(CompletableFuture<Void> done) implements DialerEvent {}

  /** A dialer and the address it dials. */
  private record DialedPeer(String address, int port, LinkDialer dialer) {
    boolean reaches(Instance instance) {
      return address.equals(instance.address()) && port == instance.port();
    }
  }

  /**
   * Creates the task; it dials nobody before the first list.
   *
   * @param plan whom to dial
   * @param dialers makes the dialer of an instance
   * @param linked whether there is a link to an instance
   * @param scheduler gives the worker
   * @param failures told of what goes wrong
   */
  public PeerDialer(
      LinkPlan plan,
      Function<Instance, LinkDialer> dialers,
      Predicate<String> linked,
      Scheduler scheduler,
      Consumer<Throwable> failures) {
    this.plan = plan;
    this.dialers = dialers;
    this.linked = linked;
    this.mailbox =
        new MailboxTask<>(Integer.MAX_VALUE, scheduler.createWorker(), this::handle, failures);
  }

  @Override
  public CompletableFuture<Void> start() {
    return CompletableFuture.completedFuture(null);
  }

  /** Takes a version of the instance list. */
  public void onInstancesActivated(InstanceList list) {
    mailbox.post(new InstancesActivated(list));
  }

  /** Takes note that a link is gone. */
  public void onLinkClosed(String instance) {
    mailbox.post(new LinkClosed(instance));
  }

  /** Ends all links that were dialed. */
  @Override
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    mailbox.post(new StopRequested(done));
    return done.thenRun(mailbox::close);
  }

  private void handle(DialerEvent step) {
    switch (step) {
      case InstancesActivated(InstanceList list) -> follow(list);
      case LinkClosed(String instance) -> drop(instance);
      case StopRequested(CompletableFuture<Void> done) -> stopAll(done);
    }
  }

  private void follow(InstanceList list) {
    unwanted.addAll(dialed.keySet());
    for (Instance instance : plan.selectTargets(list)) {
      unwanted.remove(instance.name());
      DialedPeer current = dialed.get(instance.name());
      if (current == null || !current.reaches(instance)) {
        dial(instance, current);
      }
    }
    Set.copyOf(unwanted).stream().filter(linked.negate()).forEach(this::drop);
  }

  private void dial(Instance instance, DialedPeer former) {
    if (former != null) {
      former.dialer().stop();
    }
    LinkDialer dialer = dialers.apply(instance);
    dialed.put(instance.name(), new DialedPeer(instance.address(), instance.port(), dialer));
    dialer.start();
  }

  private void drop(String instance) {
    if (unwanted.remove(instance)) {
      dialed.remove(instance).dialer().stop();
    }
  }

  private void stopAll(CompletableFuture<Void> done) {
    CompletableFuture<?>[] stops =
        dialed.values().stream().map(one -> one.dialer().stop()).toArray(CompletableFuture[]::new);
    CompletableFuture.allOf(stops).whenComplete((ignored, failure) -> done.complete(null));
  }
}
