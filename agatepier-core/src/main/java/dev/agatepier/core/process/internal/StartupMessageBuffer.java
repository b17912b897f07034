package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** What routers have told a slot keeper that knows neither table nor upstreams yet. */
public final class StartupMessageBuffer {

  /** Most messages that are kept; routers repeat everything when they choose a keeper anew. */
  private static final int CAPACITY = 1_024;

  private final Deque<BufferedMessage> messages = new ArrayDeque<>();

  /**
   * One message.
   *
   * @param router instance name of the router that sent it
   * @param message the message
   */
  public record BufferedMessage(String router, SlotMessage message) {}

  /** Keeps a message; the oldest one is dropped if there are too many. */
  public void add(String router, SlotMessage message) {
    if (messages.size() >= CAPACITY) {
      messages.removeFirst();
    }
    messages.addLast(new BufferedMessage(router, message));
  }

  /** Drops what a router has told. */
  public void removeRouter(String router) {
    messages.removeIf(message -> message.router().equals(router));
  }

  /** Returns the messages in the order in which they came, and keeps none. */
  public List<BufferedMessage> takeAll() {
    List<BufferedMessage> taken = List.copyOf(messages);
    messages.clear();
    return taken;
  }
}
