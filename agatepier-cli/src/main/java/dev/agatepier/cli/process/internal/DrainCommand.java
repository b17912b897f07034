package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import java.util.List;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;

/** The drain command: starts a graceful stop of processes. */
public final class DrainCommand extends FleetCommand {

  /** JSON output for a process that has started to drain. */
  private record DrainStarted(String instance) {}

  /** Creates the command; the factory creates a client for the parsed arguments. */
  public DrainCommand(Function<Namespace, FleetClient> fleetFactory) {
    super("drain", "start a graceful stop of processes", fleetFactory);
  }

  @Override
  ExitCode run(Namespace arguments, FleetClient fleet, Reporter reporter) {
    if (arguments.get("instances") != null && arguments.get("only") == null) {
      reporter.printError("name the instances to drain with --only");
      return ExitCode.USAGE;
    }
    List<TargetResult> results = callAll(fleet, "POST", "/v1/drain");
    for (TargetResult result : results.stream().filter(TargetResult::ok).toList()) {
      if (JsonOutput.isRequested(arguments)) {
        reporter.printJson(JsonOutput.encode(new DrainStarted(result.target().name())));
      } else {
        reporter.printLine(result.target().name() + " is draining");
      }
    }
    return reportFailures(results, reporter);
  }
}
