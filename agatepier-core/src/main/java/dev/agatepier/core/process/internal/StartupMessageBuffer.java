package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.SlotMessage;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Buffers messages that routers send to a slot allocator before it has a table and upstreams. */
public final class StartupMessageBuffer {

  /** Bound of the buffer; routers send their full state again when they select an allocator. */
  private static final int CAPACITY = 1_024;

  private final Deque<BufferedMessage> messages = new ArrayDeque<>();

  /**
   * A message with its sender.
   *
   * @param router instance name of the router that sent it
   * @param message the message
   */
  public record BufferedMessage(String router, SlotMessage message) {}

  /** Adds a message; drops the oldest one if the buffer is full. */
  public void add(String router, SlotMessage message) {
    if (messages.size() >= CAPACITY) {
      messages.removeFirst();
    }
    messages.addLast(new BufferedMessage(router, message));
  }

  /** Drops the messages of a router. */
  public void removeRouter(String router) {
    messages.removeIf(message -> message.router().equals(router));
  }

  /** Returns the messages in order of arrival and clears the buffer. */
  public List<BufferedMessage> takeAll() {
    List<BufferedMessage> taken = List.copyOf(messages);
    messages.clear();
    return taken;
  }
}
