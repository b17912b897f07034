package dev.agatepier.cli.process;

import dev.agatepier.cli.process.internal.CommandLine;
import dev.agatepier.cli.process.internal.ConsoleReporter;
import dev.agatepier.cli.process.internal.ServiceProgram;
import dev.agatepier.wire.process.DefaultRouterEnvironment;
import dev.agatepier.wire.process.RouterEnvironment;
import dev.agatepier.wire.process.RouterService;
import dev.agatepier.wire.process.RouterSettings;
import dev.agatepier.wire.process.SidecarService;
import dev.agatepier.wire.process.SidecarSettings;
import java.util.Set;
import java.util.function.Function;

/** The {@code agatepier} command. */
public final class AgatepierCommand {

  /** Commands that run a process of the fleet, which logs to standard output. */
  private static final Set<String> PROGRAMS = Set.of("router", "sidecar");

  private AgatepierCommand() {}

  /** Runs the command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    main(arguments, settings -> new DefaultRouterEnvironment());
  }

  /**
   * Runs the command with a router that runs in given surroundings, and ends the process with its
   * exit code.
   *
   * @param surroundings makes the surroundings from the router's settings
   */
  public static void main(
      String[] arguments, Function<RouterSettings, RouterEnvironment> surroundings) {
    if (arguments.length > 0 && PROGRAMS.contains(arguments[0])) {
      System.setProperty("agatepier.log.target", "SYSTEM_OUT");
    }
    Reporter reporter = new ConsoleReporter(System.out, System.err);
    int code =
        run(
            arguments,
            reporter,
            new ServiceProgram<>(
                RouterSettings::common,
                (settings, incarnation, stop) ->
                    new RouterService(settings, surroundings.apply(settings), incarnation, stop)),
            new ServiceProgram<>(SidecarSettings::common, SidecarService::new));
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
}
