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
import java.util.function.Function;

/** Main class of the {@code agatepier} command. */
public final class AgatepierCommand {

  private AgatepierCommand() {}

  /** Runs the command and exits the process with the command's exit code. */
  public static void main(String[] arguments) {
    main(arguments, settings -> new DefaultRouterEnvironment());
  }

  /**
   * Runs the command with a custom environment of the router, and exits the process with the
   * command's exit code.
   *
   * @param environmentFactory creates the environment from the router's settings
   */
  public static void main(
      String[] arguments, Function<RouterSettings, RouterEnvironment> environmentFactory) {
    ProcessSignals.remember(arguments);
    if (ProcessSignals.namesProgram(arguments)) {
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
                    new RouterService(
                        settings, environmentFactory.apply(settings), incarnation, stop)),
            new ServiceProgram<>(SidecarSettings::common, SidecarService::new));
    System.exit(code);
  }

  /**
   * Runs the command without exiting the process.
   *
   * @param arguments arguments of the command line, the command first
   * @param reporter prints output and errors
   * @param router program that {@code agatepier router} runs
   * @param sidecar program that {@code agatepier sidecar} runs
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
