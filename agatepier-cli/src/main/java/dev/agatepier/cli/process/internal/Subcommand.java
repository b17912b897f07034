package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** A command for operators. */
public interface Subcommand {

  /** Returns the name of the command on the command line. */
  String name();

  /** Returns a help text of one line. */
  String help();

  /** Adds the command's arguments to its parser. */
  void addArguments(Subparser parser);

  /** Runs the command with parsed arguments; output and errors go to the reporter. */
  ExitCode run(Namespace arguments, Reporter reporter);
}
