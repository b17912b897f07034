package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A simulated process with its own clock, which can be paused and loses its state when it restarts.
 */
abstract class VirtualNode {

  final VirtualTime time;
  final String name;
  private final Deque<Runnable> buffered = new ArrayDeque<>();
  private long incarnation;
  private boolean paused;
  private long clockOffsetMillis;

  VirtualNode(VirtualTime time, String name) {
    this.time = time;
    this.name = name;
  }

  abstract PeerIdentity peer();

  /** Starts the process without any earlier state. */
  abstract void start();

  abstract void onLinked(PeerIdentity peer);

  abstract void onUnlinked(PeerIdentity peer);

  abstract void onMessage(PeerIdentity peer, LinkMessage message);

  abstract void tick();

  final long incarnation() {
    return incarnation;
  }

  final boolean paused() {
    return paused;
  }

  final long clockMillis() {
    return time.nowMillis() + clockOffsetMillis;
  }

  final long clockNanos() {
    return clockMillis() * 1_000_000;
  }

  final void restart() {
    incarnation++;
    paused = false;
    buffered.clear();
    clockOffsetMillis = time.draw(1_000_000);
    start();
  }

  final void pause() {
    paused = true;
  }

  final void resume() {
    paused = false;
    while (!buffered.isEmpty()) {
      buffered.poll().run();
    }
  }

  /**
   * Runs an action now, or after the process resumes if it is paused. The action is dropped if the
   * process has restarted since.
   */
  final void execute(long expectedIncarnation, Runnable action) {
    if (expectedIncarnation == incarnation) {
      if (paused) {
        buffered.add(action);
      } else {
        action.run();
      }
    }
  }

  final void schedule(long millis, Runnable action) {
    long expectedIncarnation = incarnation;
    time.after(millis, () -> execute(expectedIncarnation, action));
  }
}
