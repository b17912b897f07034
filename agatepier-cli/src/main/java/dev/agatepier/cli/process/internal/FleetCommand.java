package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** A command that calls processes over their administration API. */
abstract class FleetCommand implements Subcommand {

  /**
   * Response of one process.
   *
   * @param target the process
   * @param response its response; empty if it is unreachable
   */
  record TargetResult(FleetClient.Target target, Optional<FleetClient.Response> response) {

    boolean ok() {
      return response.filter(FleetClient.Response::ok).isPresent();
    }
  }

  private final String name;
  private final String help;
  private final Function<Namespace, FleetClient> fleetFactory;

  FleetCommand(String name, String help, Function<Namespace, FleetClient> fleetFactory) {
    this.name = name;
    this.help = help;
    this.fleetFactory = fleetFactory;
  }

  @Override
  public final String name() {
    return name;
  }

  @Override
  public final String help() {
    return help;
  }

  @Override
  public void addArguments(Subparser parser) {
    FleetArguments.addTo(parser);
  }

  @Override
  public final ExitCode run(Namespace arguments, Reporter reporter) {
    return run(arguments, fleetFactory.apply(arguments), reporter);
  }

  abstract ExitCode run(Namespace arguments, FleetClient fleet, Reporter reporter);

  /** Calls all processes concurrently and blocks until all have responded or timed out. */
  static List<TargetResult> callAll(FleetClient fleet, String method, String path) {
    List<CompletableFuture<TargetResult>> calls =
        fleet.targets().stream()
            .map(
                target ->
                    fleet
                        .call(target, method, path)
                        .thenApply(response -> new TargetResult(target, response)))
            .toList();
    return calls.stream().map(CompletableFuture::join).toList();
  }

  /**
   * Prints the processes that were unreachable or responded with an error, and returns the exit
   * code.
   */
  static ExitCode reportFailures(List<TargetResult> results, Reporter reporter) {
    for (TargetResult result : results) {
      if (result.response().isEmpty()) {
        reporter.printError(result.target().name() + " cannot be reached");
      } else if (!result.ok()) {
        reporter.printError(
            result.target().name() + " responded with status " + result.response().get().status());
      }
    }
    if (results.isEmpty()) {
      reporter.printError("no process is selected");
    }
    boolean all = !results.isEmpty() && results.stream().allMatch(TargetResult::ok);
    return all ? ExitCode.OK : ExitCode.UNREACHABLE;
  }
}
