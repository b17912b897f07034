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
 * The task that delivers the events of one request to a mailbox in order and retries while the
 * mailbox is full. The flow-control window of the request bounds the events that wait here.
 *
 * @param <M> type of the events
 */
public final class OrderedDelivery<M> {

  private static final Logger LOGGER = LogManager.getLogger(OrderedDelivery.class);

  /** Delay before an event is offered again, in milliseconds. */
  private static final long RETRY_DELAY_MILLIS = 10;

  /** Consecutive failed offers after which the mailbox is considered closed. */
  private static final int MAXIMUM_FAILED_OFFERS = 3_000;

  private final Mailbox<? super M> mailbox;
  private final Scheduler.Worker worker;
  private final MailboxTask<DeliveryCommand<M>> task;
  private final Queue<M> waiting = new ArrayDeque<>();
  private int failedOffers;

  /** Commands to the task. */
  private sealed interface DeliveryCommand<M> {}

  /** Deliver an event after all earlier ones. */
  private record Deliver<M>(M event) implements DeliveryCommand<M> {}

  /** Offer the waiting events again. */
  private record RetryOffer<M>() implements DeliveryCommand<M> {}

  /**
   * Creates the delivery of one request.
   *
   * @param mailbox mailbox that the events are delivered to
   * @param scheduler runs the task
   */
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

  private void handle(DeliveryCommand<M> command) {
    switch (command) {
      case Deliver<M>(M event) -> {
        waiting.add(event);
        if (waiting.size() == 1) {
          offerWaiting();
        }
      }
      case RetryOffer<M>() -> offerWaiting();
    }
  }

  private void offerWaiting() {
    while (!waiting.isEmpty() && mailbox.offer(waiting.peek())) {
      waiting.poll();
      failedOffers = 0;
    }
    if (waiting.isEmpty()) {
      return;
    }
    failedOffers++;
    if (failedOffers > MAXIMUM_FAILED_OFFERS) {
      LOGGER.error(LogEvent.MAILBOX_CLOSED.message());
      waiting.clear();
    } else {
      worker.schedule(
          () -> task.post(new RetryOffer<>()), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
