package dev.agatepier.standin.process.internal;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** A program (subcommand) of the command {@code agatepier-standin}. */
public interface StandinProgram {

  /** Returns the name of the program on the command line. */
  String name();

  /** Adds the arguments of the program. */
  void addArguments(Subparser parser);

  /** Runs the program to its end and returns the exit status. */
  int run(Namespace options);
}
