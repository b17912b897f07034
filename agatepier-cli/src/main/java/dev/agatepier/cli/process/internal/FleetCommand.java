package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** A command that asks processes over their administration API. */
abstract class FleetCommand implements Subcommand {

  /**
   * What one process answered.
   *
   * @param target the process
   * @param response its answer; nothing if it cannot be reached
   */
  record TargetResponse(FleetClient.Target target, Optional<FleetClient.Response> response) {

    boolean ok() {
      return response.filter(FleetClient.Response::ok).isPresent();
    }
  }

  private final String name;
  private final String help;
  private final Function<Namespace, FleetClient> fleets;

  FleetCommand(String name, String help, Function<Namespace, FleetClient> fleets) {
    this.name = name;
    this.help = help;
    this.fleets = fleets;
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
    return run(arguments, fleets.apply(arguments), reporter);
  }

  abstract ExitCode run(Namespace arguments, FleetClient fleet, Reporter reporter);

  /** Asks all processes at one time. */
  static List<TargetResponse> callAll(FleetClient fleet, String method, String path) {
    List<CompletableFuture<TargetResponse>> calls =
        fleet.targets().stream()
            .map(
                target ->
                    fleet
                        .call(target, method, path)
                        .thenApply(answer -> new TargetResponse(target, answer)))
            .toList();
    return calls.stream().map(CompletableFuture::join).toList();
  }

  /** Reports the processes that gave no answer or refused, and returns the exit code. */
  static ExitCode reportFailures(List<TargetResponse> replies, Reporter reporter) {
    for (TargetResponse reply : replies) {
      if (reply.response().isEmpty()) {
        reporter.printError(reply.target().name() + " cannot be reached");
      } else if (!reply.ok()) {
        reporter.printError(reply.target().name() + " answered " + reply.response().get().status());
      }
    }
    if (replies.isEmpty()) {
      reporter.printError("there is no process to ask");
    }
    boolean all = !replies.isEmpty() && replies.stream().allMatch(TargetResponse::ok);
    return all ? ExitCode.OK : ExitCode.UNREACHABLE;
  }
}
