package dev.agatepier.cli.process.internal;

/** Lets time pass between two looks at the fleet. */
@FunctionalInterface
public interface Pause {

  /** Waits without use of the processor. */
  void pause(long millis);
}
