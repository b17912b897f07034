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

/** The task of one proxied connection; it owns both sockets. */
public final class ProxyConnection {

  /** Stands in a delay line for the end of a connection. */
  private static final ByteBuf END = Unpooled.unreleasableBuffer(Unpooled.buffer(0));

  /** What a connection needs from its route. */
  public interface Environment {

    /** Creates the connection's task. */
    <M> MailboxTask<M> createTask(Consumer<M> handler);

    /** Runs an action after a delay. */
    void schedule(long delayNanos, Runnable action);

    /** Counts bytes that were handed on. */
    void recordTransferred(Direction direction, int bytes);

    /** Counts bytes that were swallowed. */
    void recordSwallowed(int bytes);

    /** Says that the connection has ended. */
    void onConnectionClosed(ProxyConnection connection);
  }

  private final Environment surroundings;
  private final MonotonicClock clock;
  private final MailboxTask<ProxyMessage> task;
  private final Map<Direction, DelayLine<ByteBuf>> lines = new EnumMap<>(Direction.class);
  private final Map<Direction, SocketReader> readers = new EnumMap<>(Direction.class);

  /** The socket into which each direction flows. */
  private final Map<Direction, Connection> outputs = new EnumMap<>(Direction.class);

  /** Directions for which a timer runs. */
  private final Set<Direction> armed = EnumSet.noneOf(Direction.class);

  private boolean ended;

  /** Creates the task of a connection that a caller opened. */
  public ProxyConnection(
      Connection caller,
      RouteFaults faults,
      long seed,
      MonotonicClock clock,
      Environment surroundings) {
    this.surroundings = surroundings;
    this.clock = clock;
    SplittableRandom random = new SplittableRandom(seed);
    for (Direction direction : Direction.values()) {
      lines.put(
          direction, new DelayLine<>(faults.forDirection(direction), random, clock.nanoTime()));
    }
    outputs.put(Direction.TO_CALLER, caller);
    this.task = surroundings.createTask(this::handle);
    read(Direction.TO_TARGET, caller);
  }

  /** Tells that the target was reached. */
  public void onTargetConnected(Connection target) {
    if (!task.offer(new ProxyMessage.TargetConnected(target))) {
      target.dispose();
    }
  }

  /** Changes the faults. */
  public void updateFaults(RouteFaults faults) {
    task.offer(new ProxyMessage.FaultsChanged(faults));
  }

  /** Resets both sockets. */
  public void cut() {
    task.offer(new ProxyMessage.CutRequested());
  }

  /** Closes a socket with a reset. */
  public static void reset(Connection connection) {
    connection.channel().config().setOption(ChannelOption.SO_LINGER, 0);
    connection.channel().close();
  }

  private void handle(ProxyMessage message) {
    if (ended) {
      release(message);
      return;
    }
    switch (message) {
      case ProxyMessage.TargetConnected connected -> {
        outputs.put(Direction.TO_TARGET, connected.target());
        read(Direction.TO_CALLER, connected.target());
        deliver(Direction.TO_TARGET);
      }
      case ProxyMessage.BytesReceived arrived -> take(arrived.direction(), arrived.bytes());
      case ProxyMessage.InputClosed finished -> take(finished.direction(), END);
      case ProxyMessage.TimerExpired due -> {
        armed.remove(due.direction());
        deliver(due.direction());
      }
      case ProxyMessage.BytesWritten written -> {
        surroundings.recordTransferred(written.direction(), written.bytes());
        readers.get(written.direction()).requestNext();
      }
      case ProxyMessage.FaultsChanged changed -> applyFaults(changed.faults());
      case ProxyMessage.CutRequested cut -> end(true);
    }
  }

  private void applyFaults(RouteFaults faults) {
    for (Direction direction : Direction.values()) {
      lines.get(direction).updateFaults(faults.forDirection(direction));
      deliver(direction);
    }
  }

  private void take(Direction direction, ByteBuf bytes) {
    DelayLine<ByteBuf> line = lines.get(direction);
    if (!line.dropsArrivals()) {
      line.add(bytes, bytes.readableBytes(), clock.nanoTime());
      deliver(direction);
    } else if (bytes != END) {
      surroundings.recordSwallowed(bytes.readableBytes());
      bytes.release();
      readers.get(direction).requestNext();
    }
  }

  private void deliver(Direction direction) {
    Connection output = outputs.get(direction);
    if (output == null) {
      return;
    }
    DelayLine<ByteBuf> line = lines.get(direction);
    for (var next = line.poll(clock.nanoTime());
        next.isPresent() && !ended;
        next = line.poll(clock.nanoTime())) {
      write(direction, output, next.get());
    }
    if (!armed.contains(direction)) {
      line.nanosUntilDue(clock.nanoTime()).ifPresent(nanos -> arm(direction, nanos));
    }
  }

  private void arm(Direction direction, long nanos) {
    armed.add(direction);
    surroundings.schedule(nanos, () -> task.offer(new ProxyMessage.TimerExpired(direction)));
  }

  private void write(Direction direction, Connection output, ByteBuf bytes) {
    if (bytes == END) {
      end(false);
      return;
    }
    int size = bytes.readableBytes();
    output
        .channel()
        .writeAndFlush(bytes)
        .addListener(done -> task.offer(new ProxyMessage.BytesWritten(direction, size)));
  }

  private void read(Direction direction, Connection input) {
    SocketReader reader = new SocketReader(direction, task);
    readers.put(direction, reader);
    input.inbound().receive().retain().subscribe(reader);
  }

  private void end(boolean reset) {
    ended = true;
    for (Connection output : outputs.values()) {
      if (reset) {
        reset(output);
      } else {
        output.channel().close();
      }
    }
    for (DelayLine<ByteBuf> line : lines.values()) {
      for (var next = line.pollNow(); next.isPresent(); next = line.pollNow()) {
        next.get().release();
      }
    }
    surroundings.onConnectionClosed(this);
  }

  private static void release(ProxyMessage message) {
    switch (message) {
      case ProxyMessage.BytesReceived arrived -> arrived.bytes().release();
      case ProxyMessage.TargetConnected connected -> connected.target().dispose();
      default -> {
        // Nothing else holds a resource.
      }
    }
  }
}
