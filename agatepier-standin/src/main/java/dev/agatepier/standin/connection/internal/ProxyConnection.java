package dev.agatepier.standin.connection.internal;

import dev.agatepier.core.process.MailboxTask;
import dev.agatepier.core.process.MonotonicClock;
import dev.agatepier.standin.connection.Direction;
import dev.agatepier.standin.connection.RouteFaults;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import reactor.netty.Connection;

/** Task of one proxied connection; owns both sockets. */
public final class ProxyConnection {

  /** Marks the end of the stream in a delay line. */
  private static final ByteBuf END_OF_STREAM = Unpooled.unreleasableBuffer(Unpooled.buffer(0));

  /** Services that the route provides to its connections. */
  public interface Environment {

    /** Creates the connection's mailbox task. */
    <M> MailboxTask<M> createTask(Consumer<M> handler);

    /** Runs an action after a delay. */
    void schedule(long delayNanos, Runnable action);

    /** Counts bytes that were written to the output socket. */
    void recordTransferred(Direction direction, int bytes);

    /** Counts bytes that were dropped. */
    void recordSwallowed(int bytes);

    /** Reports that both sockets have been closed or reset. */
    void onConnectionClosed(ProxyConnection connection);
  }

  private final Environment environment;
  private final MonotonicClock clock;
  private final MailboxTask<ProxyMessage> task;
  private final Map<Direction, DelayLine<ByteBuf>> delayLines = new EnumMap<>(Direction.class);
  private final Map<Direction, SocketReader> readers = new EnumMap<>(Direction.class);

  /** Output socket of each direction. */
  private final Map<Direction, Connection> outputs = new EnumMap<>(Direction.class);

  /** Directions with a running timer. */
  private final Set<Direction> timerRunning = EnumSet.noneOf(Direction.class);

  private boolean closed;

  /** Creates the task and starts reading from the caller; the target is connected later. */
  public ProxyConnection(
      Connection caller,
      RouteFaults faults,
      long seed,
      MonotonicClock clock,
      Environment environment) {
    this.environment = environment;
    this.clock = clock;
    SplittableRandom random = new SplittableRandom(seed);
    for (Direction direction : Direction.values()) {
      delayLines.put(
          direction, new DelayLine<>(faults.forDirection(direction), random, clock.nanoTime()));
    }
    outputs.put(Direction.TO_CALLER, caller);
    this.task = environment.createTask(this::handle);
    startReading(Direction.TO_TARGET, caller);
  }

  /** Hands over the connection to the target; closes it if the mailbox is full. */
  public void onTargetConnected(Connection target) {
    if (!task.offer(new ProxyMessage.TargetConnected(target))) {
      target.dispose();
    }
  }

  /** Replaces the faults of the open connection. */
  public void updateFaults(RouteFaults faults) {
    task.offer(new ProxyMessage.FaultsChanged(faults));
  }

  /** Resets both sockets, asynchronously. */
  public void cut() {
    task.offer(new ProxyMessage.CutRequested());
  }

  /** Closes a socket with a TCP reset, by setting {@code SO_LINGER} to 0. */
  public static void reset(Connection connection) {
    connection.channel().config().setOption(ChannelOption.SO_LINGER, 0);
    connection.channel().close();
  }

  private void handle(ProxyMessage message) {
    if (closed) {
      release(message);
      return;
    }
    switch (message) {
      case ProxyMessage.TargetConnected connected -> {
        outputs.put(Direction.TO_TARGET, connected.target());
        startReading(Direction.TO_CALLER, connected.target());
        writeDue(Direction.TO_TARGET);
      }
      case ProxyMessage.BytesReceived received -> enqueue(received.direction(), received.bytes());
      case ProxyMessage.InputClosed inputClosed -> enqueue(inputClosed.direction(), END_OF_STREAM);
      case ProxyMessage.TimerExpired expired -> {
        timerRunning.remove(expired.direction());
        writeDue(expired.direction());
      }
      case ProxyMessage.BytesWritten written -> {
        environment.recordTransferred(written.direction(), written.bytes());
        readers.get(written.direction()).requestNext();
      }
      case ProxyMessage.FaultsChanged changed -> applyFaults(changed.faults());
      case ProxyMessage.CutRequested cut -> close(true);
    }
  }

  private void applyFaults(RouteFaults faults) {
    for (Direction direction : Direction.values()) {
      delayLines.get(direction).updateFaults(faults.forDirection(direction));
      writeDue(direction);
    }
  }

  private void enqueue(Direction direction, ByteBuf bytes) {
    DelayLine<ByteBuf> line = delayLines.get(direction);
    if (!line.dropsArrivals()) {
      line.add(bytes, bytes.readableBytes(), clock.nanoTime());
      writeDue(direction);
    } else if (bytes != END_OF_STREAM) {
      environment.recordSwallowed(bytes.readableBytes());
      bytes.release();
      readers.get(direction).requestNext();
    }
  }

  private void writeDue(Direction direction) {
    Connection output = outputs.get(direction);
    if (output == null) {
      return;
    }
    DelayLine<ByteBuf> line = delayLines.get(direction);
    for (var next = line.poll(clock.nanoTime());
        next.isPresent() && !closed;
        next = line.poll(clock.nanoTime())) {
      write(direction, output, next.get());
    }
    if (!timerRunning.contains(direction)) {
      line.nanosUntilDue(clock.nanoTime()).ifPresent(nanos -> startTimer(direction, nanos));
    }
  }

  private void startTimer(Direction direction, long nanos) {
    timerRunning.add(direction);
    environment.schedule(nanos, () -> task.offer(new ProxyMessage.TimerExpired(direction)));
  }

  private void write(Direction direction, Connection output, ByteBuf bytes) {
    if (bytes == END_OF_STREAM) {
      close(false);
      return;
    }
    int size = bytes.readableBytes();
    output
        .channel()
        .writeAndFlush(bytes)
        .addListener(done -> task.offer(new ProxyMessage.BytesWritten(direction, size)));
  }

  private void startReading(Direction direction, Connection input) {
    SocketReader reader = new SocketReader(direction, task);
    readers.put(direction, reader);
    input.inbound().receive().retain().subscribe(reader);
  }

  private void close(boolean reset) {
    closed = true;
    for (Connection output : outputs.values()) {
      if (reset) {
        reset(output);
      } else {
        output.channel().close();
      }
    }
    for (DelayLine<ByteBuf> line : delayLines.values()) {
      for (var next = line.pollNow(); next.isPresent(); next = line.pollNow()) {
        next.get().release();
      }
    }
    environment.onConnectionClosed(this);
  }

  private static void release(ProxyMessage message) {
    switch (message) {
      case ProxyMessage.BytesReceived received -> received.bytes().release();
      case ProxyMessage.TargetConnected connected -> connected.target().dispose();
      default -> {
        // The other messages own no resources.
      }
    }
  }
}
