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
  private final Map<String, Dialed> dialed = new HashMap<>();
  private final Set<String> unwanted = new HashSet<>();
  private final MailboxTask<Step> mailbox;

  /** One thing to do for the task. */
  private sealed interface Step {}

  /** A version of the instance list is in force. */
  private record Listed(InstanceList list) implements Step {}

  /** A link is gone. */
  private record Unlinked(String instance) implements Step {}

  /** The process stops. */
  private record Stopped(CompletableFuture<Void> done) implements Step {}

  /** A dialer and the address it dials. */
  private record Dialed(String address, int port, LinkDialer dialer) {
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
  public void listed(InstanceList list) {
    mailbox.post(new Listed(list));
  }

  /** Takes note that a link is gone. */
  public void unlinked(String instance) {
    mailbox.post(new Unlinked(instance));
  }

  /** Ends all links that were dialed. */
  @Override
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    mailbox.post(new Stopped(done));
    return done.thenRun(mailbox::close);
  }

  private void handle(Step step) {
    switch (step) {
      case Listed(InstanceList list) -> follow(list);
      case Unlinked(String instance) -> drop(instance);
      case Stopped(CompletableFuture<Void> done) -> stopAll(done);
    }
  }

  private void follow(InstanceList list) {
    unwanted.addAll(dialed.keySet());
    for (Instance instance : plan.selectTargets(list)) {
      unwanted.remove(instance.name());
      Dialed current = dialed.get(instance.name());
      if (current == null || !current.reaches(instance)) {
        dial(instance, current);
      }
    }
    Set.copyOf(unwanted).stream().filter(linked.negate()).forEach(this::drop);
  }

  private void dial(Instance instance, Dialed former) {
    if (former != null) {
      former.dialer().stop();
    }
    LinkDialer dialer = dialers.apply(instance);
    dialed.put(instance.name(), new Dialed(instance.address(), instance.port(), dialer));
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
