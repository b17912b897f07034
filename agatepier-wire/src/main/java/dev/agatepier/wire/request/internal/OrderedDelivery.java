package dev.agatepier.wire.request.internal;

import dev.agatepier.core.process.Mailbox;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import reactor.core.scheduler.Scheduler;

/**
 * Delivers the events of one request in order to a mailbox that may be full for a while. What waits
 * here is bounded by the window of the request.
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
  private final Scheduler scheduler;
  private final Queue<M> waiting = new ArrayDeque<>();
  private int offers;

  /** Creates the delivery of one request. */
  public OrderedDelivery(Mailbox<? super M> mailbox, Scheduler scheduler) {
    this.mailbox = mailbox;
    this.scheduler = scheduler;
  }

  /** Delivers an event after all earlier ones. */
  public synchronized void deliver(M event) {
    waiting.add(event);
    if (waiting.size() == 1) {
      offerWaiting();
    }
  }

  private synchronized void offerWaiting() {
    while (!waiting.isEmpty() && mailbox.offer(waiting.peek())) {
      waiting.poll();
      offers = 0;
    }
    if (waiting.isEmpty()) {
      return;
    }
    offers++;
    if (offers > MAXIMUM_OFFERS) {
      LOGGER.error(new StringMapMessage().with("event", "mailbox-closed"));
      waiting.clear();
    } else {
      scheduler.schedule(this::offerWaiting, OFFER_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
