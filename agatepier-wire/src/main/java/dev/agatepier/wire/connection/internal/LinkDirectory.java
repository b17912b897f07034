package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.wire.connection.LinkEventHandler;
import dev.agatepier.wire.process.LogEvent;
import java.util.HashMap;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import reactor.core.scheduler.Schedulers;

/**
 * The task that knows the one link in use to each peer and tells of links in order. A link reads
 * nothing before it is taken into use, and a replaced one is closed before that is told, so that
 * messages need not pass through here.
 */
public final class LinkDirectory {

  private static final Logger LOGGER = LogManager.getLogger(LinkDirectory.class);

  private final LinkEventHandler events;
  private final Map<String, LinkTask> inUse = new HashMap<>();
  private final MailboxTask<DirectoryEvent> mailbox;

  /** One thing to do for the task. */
  private sealed interface DirectoryEvent {}

  /** A link is authenticated. */
  private record LinkAuthenticated(LinkTask link) implements DirectoryEvent {}

  /** A link is gone. */
  private record LinkClosed(LinkTask link, String reason) implements DirectoryEvent {}

  /** Creates a directory without links. */
  public LinkDirectory(LinkEventHandler events) {
    this.events = events;
    this.mailbox =
        new MailboxTask<>(
            Integer.MAX_VALUE,
            Schedulers.parallel().createWorker(),
            this::handle,
            failure -> LOGGER.error(LogEvent.TASK_FAILED.message(), failure));
  }

  /**
   * Takes a link into use in place of an older one of the same instance, and has it go on; has it
   * closed if the instance is already linked by a newer incarnation.
   */
  void onLinkAuthenticated(LinkTask link) {
    mailbox.post(new LinkAuthenticated(link));
  }

  /** Hands on a message of a link in use; returns false if it cannot be taken now. */
  boolean onMessage(LinkTask link, LinkMessage message) {
    return events.onMessage(link.peer(), message);
  }

  /** Takes a link out of use; does nothing if it is not in use. */
  void onLinkClosed(LinkTask link, String reason) {
    mailbox.post(new LinkClosed(link, reason));
  }

  private void handle(DirectoryEvent step) {
    switch (step) {
      case LinkAuthenticated(LinkTask link) -> takeIntoUse(link);
      case LinkClosed(LinkTask link, String reason) -> takeOutOfUse(link, reason);
    }
  }

  private void takeIntoUse(LinkTask link) {
    LinkTask older = inUse.get(link.peer().instance());
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
      takeOutOfUse(older, "replaced");
    }
    inUse.put(link.peer().instance(), link);
    events.onPeerConnected(link.peer(), link);
    link.onActivated();
  }

  private void takeOutOfUse(LinkTask link, String reason) {
    if (inUse.remove(link.peer().instance(), link)) {
      events.onPeerDisconnected(link.peer(), reason);
    }
  }
}
