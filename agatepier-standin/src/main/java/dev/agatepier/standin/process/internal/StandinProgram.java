package dev.agatepier.standin.process.internal;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One program of the command {@code agatepier-standin}. */
public interface StandinProgram {

  /** Returns the name by which it is called. */
  String name();

  /** Declares its arguments. */
  void addArguments(Subparser parser);

  /** Runs it to its end and returns the exit status. */
  int run(Namespace options);
}
