package dev.agatepier.wire.request.internal;

import dev.agatepier.core.process.Mailbox;
import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.wire.process.LogEvent;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.scheduler.Scheduler;

/**
 * The task that delivers the events of one request in order to a mailbox that may be full for a
 * while. What waits here is bounded by the window of the request.
 *
 * @param <M> events delivered
 */
public final class OrderedDelivery<M> {

  private static final Logger LOGGER = LogManager.getLogger(OrderedDelivery.class);

  /** Time before an event is offered again, in milliseconds. */
  private static final long OFFER_AGAIN_MILLIS = 10;

  /** Offers after which the mailbox counts as closed. */
  private static final int MAXIMUM_OFFERS = 3_000;

  private final Mailbox<? super M> mailbox;
  private final Scheduler.Worker worker;
  private final MailboxTask<DeliveryCommand<M>> task;
  private final Queue<M> waiting = new ArrayDeque<>();
  private int offers;

  /** One thing to do for the task. */
  private sealed interface DeliveryCommand<M> {}

  /** An event comes after all earlier ones. */
  private record Deliver<M>(M event) implements DeliveryCommand<M> {}

  /** The mailbox may have room again. */
  private record OfferAgain<M>() implements DeliveryCommand<M> {}

  /** Creates the delivery of one request. */
  public OrderedDelivery(Mailbox<? super M> mailbox, Scheduler scheduler) {
    this.mailbox = mailbox;
    this.worker = scheduler.createWorker();
    this.task =
        new MailboxTask<>(
            Integer.MAX_VALUE,
            worker,
            this::handle,
            failure -> LOGGER.error(LogEvent.TASK_FAILED.message(), failure));
  }

  /** Delivers an event after all earlier ones. */
  public void deliver(M event) {
    task.post(new Deliver<>(event));
  }

  private void handle(DeliveryCommand<M> step) {
    switch (step) {
      case Deliver<M>(M event) -> {
        waiting.add(event);
        if (waiting.size() == 1) {
          offerWaiting();
        }
      }
      case OfferAgain<M>() -> offerWaiting();
    }
  }

  private void offerWaiting() {
    while (!waiting.isEmpty() && mailbox.offer(waiting.peek())) {
      waiting.poll();
      offers = 0;
    }
    if (waiting.isEmpty()) {
      return;
    }
    offers++;
    if (offers > MAXIMUM_OFFERS) {
      LOGGER.error(LogEvent.MAILBOX_CLOSED.message());
      waiting.clear();
    } else {
      worker.schedule(
          () -> task.post(new OfferAgain<>()), OFFER_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
