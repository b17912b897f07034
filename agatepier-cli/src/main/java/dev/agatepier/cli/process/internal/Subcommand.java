package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** One command of the operators. */
public interface Subcommand {

  /** Returns the word it is called by. */
  String name();

  /** Returns one line of help. */
  String help();

  /** Adds its arguments. */
  void addArguments(Subparser parser);

  /** Runs it. */
  ExitCode run(Namespace arguments, Reporter reporter);
}
