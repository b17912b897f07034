package dev.agatepier.cli.process;

/**
 * A program that runs until the process is asked to stop.
 *
 * @param <S> type of its settings
 */
@FunctionalInterface
public interface Program<S> {

  /** Runs the program, blocks until it has stopped and returns its exit code. */
  int run(S settings);
}
