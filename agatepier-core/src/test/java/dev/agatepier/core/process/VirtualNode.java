package dev.agatepier.core.process;

import dev.agatepier.core.connection.LinkMessage;
import dev.agatepier.core.connection.PeerIdentity;
import java.util.ArrayDeque;
import java.util.Deque;

/** A process in virtual time with a clock of its own, that can be paused and loses its memory. */
abstract class VirtualNode {

  final VirtualTime time;
  final String name;
  private final Deque<Runnable> buffered = new ArrayDeque<>();
  private long incarnation;
  private boolean paused;
  private long clockMillis;

  VirtualNode(VirtualTime time, String name) {
    this.time = time;
    this.name = name;
  }

  abstract PeerIdentity peer();

  /** Starts without memory. */
  abstract void begin();

  abstract void linked(PeerIdentity peer);

  abstract void unlinked(PeerIdentity peer);

  abstract void arrived(PeerIdentity peer, LinkMessage message);

  abstract void tick();

  final long incarnation() {
    return incarnation;
  }

  final boolean paused() {
    return paused;
  }

  final long clockMillis() {
    return time.nowMillis() + clockMillis;
  }

  final long clockNanos() {
    return clockMillis() * 1_000_000;
  }

  final void restart() {
    incarnation++;
    paused = false;
    buffered.clear();
    clockMillis = time.draw(1_000_000);
    begin();
  }

  final void pause() {
    paused = true;
  }

  final void wake() {
    paused = false;
    while (!buffered.isEmpty()) {
      buffered.poll().run();
    }
  }

  /** Runs an action now, when the process wakes, or never if it restarts before. */
  final void act(long of, Runnable action) {
    if (of == incarnation) {
      if (paused) {
        buffered.add(action);
      } else {
        action.run();
      }
    }
  }

  final void later(long millis, Runnable action) {
    long of = incarnation;
    time.after(millis, () -> act(of, action));
  }
}
