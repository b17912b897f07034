package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.wire.connection.LinkEventHandler;
import dev.agatepier.wire.process.LogEvent;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.scheduler.Scheduler;

/**
 * The task that tracks the active link to each peer and reports links in order. A link reads no
 * messages before it is activated, and a replaced link is closed before its removal is reported, so
 * messages need not pass through the mailbox of this task.
 */
public final class LinkDirectory {

  private static final Logger LOGGER = LogManager.getLogger(LinkDirectory.class);

  private final LinkEventHandler eventHandler;
  private final Map<String, LinkTask> activeLinks = new HashMap<>();
  private final long heartbeatMillis;
  private final Scheduler scheduler;
  private final MailboxTask<DirectoryEvent> mailbox;

  /** Whether the timer of the heartbeats runs; it stops when there is no active link. */
  private boolean heartbeatsScheduled;

  /** A change of one link. */
  private sealed interface DirectoryEvent {}

  /** The handshake of a link succeeded. */
  private record LinkAuthenticated(LinkTask link) implements DirectoryEvent {}

  /** A link is closed. */
  private record LinkClosed(LinkTask link, String reason) implements DirectoryEvent {}

  /** The heartbeats of all active links are due. */
  private record HeartbeatsDue() implements DirectoryEvent {}

  /**
   * Creates an empty directory.
   *
   * @param eventHandler receives the events of every link
   * @param heartbeatMillis interval of the heartbeats, in milliseconds
   * @param scheduler runs the task
   */
  public LinkDirectory(LinkEventHandler eventHandler, long heartbeatMillis, Scheduler scheduler) {
    this.eventHandler = eventHandler;
    this.heartbeatMillis = heartbeatMillis;
    this.scheduler = scheduler;
    this.mailbox =
        new MailboxTask<>(
            Integer.MAX_VALUE,
            scheduler.createWorker(),
            this::handle,
            failure -> LOGGER.error(LogEvent.TASK_FAILED.message(), failure));
  }

  /**
   * Activates a link, replacing an older one of the same instance. Closes it instead if the
   * instance is already linked by a newer incarnation, or by a preferred link of the same
   * incarnation.
   */
  void onLinkAuthenticated(LinkTask link) {
    mailbox.post(new LinkAuthenticated(link));
  }

  /** Delivers a message of an active link; returns false if it cannot be accepted now. */
  boolean onMessage(LinkTask link, LinkMessage message) {
    return eventHandler.onMessage(link.peer(), message);
  }

  /** Removes a link; does nothing if it is not the active one. */
  void onLinkClosed(LinkTask link, String reason) {
    mailbox.post(new LinkClosed(link, reason));
  }

  private void handle(DirectoryEvent event) {
    switch (event) {
      case LinkAuthenticated(LinkTask link) -> activate(link);
      case LinkClosed(LinkTask link, String reason) -> deactivate(link, reason);
      case HeartbeatsDue() -> sendHeartbeats();
    }
  }

  private void activate(LinkTask link) {
    LinkTask older = activeLinks.get(link.peer().instance());
    if (older != null && older.peer().incarnation() > link.peer().incarnation()) {
      link.close("older-incarnation");
      return;
    }
    if (older != null
        && older.peer().equals(link.peer())
        && older.isPreferred()
        && !link.isPreferred()) {
      link.close("duplicate");
      return;
    }
    if (older != null) {
      older.close("replaced");
      deactivate(older, "replaced");
    }
    activeLinks.put(link.peer().instance(), link);
    eventHandler.onPeerConnected(link.peer(), link);
    link.onActivated();
    if (!heartbeatsScheduled) {
      scheduleHeartbeats();
    }
  }

  /**
   * Sends the heartbeats of all links in one run: a timer for each link wakes the event loop far
   * more often.
   */
  private void sendHeartbeats() {
    heartbeatsScheduled = false;
    if (!activeLinks.isEmpty()) {
      List.copyOf(activeLinks.values()).forEach(LinkTask::sendHeartbeat);
      scheduleHeartbeats();
    }
  }

  private void scheduleHeartbeats() {
    heartbeatsScheduled = true;
    scheduler.schedule(
        () -> mailbox.post(new HeartbeatsDue()), heartbeatMillis, TimeUnit.MILLISECONDS);
  }

  private void deactivate(LinkTask link, String reason) {
    if (activeLinks.remove(link.peer().instance(), link)) {
      eventHandler.onPeerDisconnected(link.peer(), reason);
    }
  }
}
