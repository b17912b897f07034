package dev.agatepier.cli.process.internal;

/** Waits between two polls of the fleet. */
@FunctionalInterface
public interface Pause {

  /** Blocks the calling thread for a time in milliseconds. */
  void pause(long millis);
}
