package dev.agatepier.cli.process;

/**
 * A program that runs until it is told to stop.
 *
 * @param <S> its settings
 */
@FunctionalInterface
public interface Program<S> {

  /** Runs the program to its end and returns its exit code. */
  int run(S settings);
}
