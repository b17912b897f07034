package dev.agatepier.cli.process;

import dev.agatepier.cli.process.internal.CommandLine;
import dev.agatepier.cli.process.internal.ConsoleReporter;

/** The {@code agatepier} command. */
public final class AgatepierCommand {

  private AgatepierCommand() {}

  /** Runs the command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    Reporter reporter = new ConsoleReporter(System.out, System.err);
    int code =
        run(
            arguments,
            reporter,
            settings -> missing("router", reporter),
            settings -> missing("sidecar", reporter));
    System.exit(code);
  }

  /**
   * Runs the command.
   *
   * @param arguments command line
   * @param reporter tells the user
   * @param router program behind {@code agatepier router}
   * @param sidecar program behind {@code agatepier sidecar}
   * @return exit code
   */
  public static int run(
      String[] arguments,
      Reporter reporter,
      Program<RouterSettings> router,
      Program<SidecarSettings> sidecar) {
    return new CommandLine(reporter, router, sidecar).run(arguments);
  }

  private static int missing(String program, Reporter reporter) {
    reporter.error("the " + program + " is not part of this build");
    return ExitCode.USAGE.code();
  }
}
