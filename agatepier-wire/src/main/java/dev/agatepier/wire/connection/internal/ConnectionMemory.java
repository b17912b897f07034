package dev.agatepier.wire.connection.internal;

import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.wire.connection.MemoryBudget;
import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;

/** The bytes that are held for one connection, as the budget of the process counts them. */
public final class ConnectionMemory implements MemoryBudget.Holder {

  /** Bytes below which a connection does not count, so that small requests cost no accounting. */
  private static final long IGNORED_BYTES = 8_192;

  /** Bytes that a header field takes beside its text: its objects in each form of the head. */
  private static final long FIELD_BYTES = 320;

  /** The text of a head is held as received and as strings. */
  private static final long HEAD_COPIES = 2;

  private final MemoryBudget budget;
  private final MonotonicClock clock;
  private final String address;
  private final BooleanSupplier evictable;
  private final Runnable onEvicted;
  private String workspace = "";
  private long inputBytes;
  private long requestBytes;
  private long responseBytes;
  private long countedBytes;
  private long progressNanos;
  private boolean evicted;

  /**
   * Creates the account of an open connection.
   *
   * @param evictable returns whether the connection waits for its caller
   * @param onEvicted ends the request or the connection
   */
  ConnectionMemory(
      MemoryBudget budget,
      MonotonicClock clock,
      Channel channel,
      BooleanSupplier evictable,
      Runnable onEvicted) {
    this.budget = budget;
    this.clock = clock;
    this.address = addressOf(channel);
    this.evictable = evictable;
    this.onEvicted = onEvicted;
    onProgress();
  }

  /** Returns the address of the peer of a channel; empty if it has none. */
  static String addressOf(Channel channel) {
    return channel.remoteAddress() instanceof InetSocketAddress remote
        ? remote.getAddress().getHostAddress()
        : "";
  }

  /** Returns about how many bytes a decoded head takes. */
  static long headCost(long textBytes, int fields) {
    return HEAD_COPIES * textBytes + FIELD_BYTES * fields;
  }

  /** Sets the bytes of input that is not a complete head or body yet. */
  void setInput(long bytes) {
    inputBytes = bytes;
    update();
  }

  /** Adds bytes to those of the request; returns false and adds nothing if that is not admitted. */
  boolean tryReserve(String ofWorkspace, long bytes) {
    if (evicted) {
      return false;
    }
    if (!ofWorkspace.equals(workspace)) {
      budget.set(this, 0);
      countedBytes = 0;
      workspace = ofWorkspace;
      update();
    }
    if (requestBytes + bytes > IGNORED_BYTES && !budget.admits(this, bytes)) {
      return false;
    }
    requestBytes += bytes;
    update();
    return true;
  }

  /** Returns the bytes of the request to the budget. */
  void releaseRequest() {
    requestBytes = 0;
    update();
  }

  /** Sets the bytes of responses that the caller has not read. */
  void setResponse(long bytes) {
    responseBytes = bytes;
    update();
  }

  /** Returns all bytes to the budget. */
  void close() {
    inputBytes = 0;
    requestBytes = 0;
    responseBytes = 0;
    update();
    evicted = true;
  }

  /** Records that the caller sent or read something. */
  void onProgress() {
    progressNanos = clock.nanoTime();
  }

  private void update() {
    long bytes = inputBytes + requestBytes + responseBytes;
    long counted = bytes < IGNORED_BYTES ? 0 : bytes;
    if (counted != countedBytes && !evicted) {
      countedBytes = counted;
      budget.set(this, counted);
    }
  }

  @Override
  public String address() {
    return address;
  }

  @Override
  public String workspace() {
    return workspace;
  }

  @Override
  public boolean evictable() {
    return evictable.getAsBoolean();
  }

  @Override
  public long progressNanos() {
    return progressNanos;
  }

  @Override
  public void evict() {
    evicted = true;
    countedBytes = 0;
    onEvicted.run();
  }
}
