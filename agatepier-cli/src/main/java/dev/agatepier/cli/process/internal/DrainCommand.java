package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import java.util.List;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;

/** Begins a graceful stop of processes. */
public final class DrainCommand extends FleetCommand {

  /** What is printed of a process that begins to drain. */
  private record DrainStarted(String instance) {}

  /** Creates the command. */
  public DrainCommand(Function<Namespace, FleetClient> fleets) {
    super("drain", "begin a graceful stop of processes", fleets);
  }

  @Override
  ExitCode run(Namespace arguments, FleetClient fleet, Reporter reporter) {
    if (arguments.get("instances") != null && arguments.get("only") == null) {
      reporter.printError("name the instances to drain with --only");
      return ExitCode.USAGE;
    }
    List<TargetResponse> replies = callAll(fleet, "POST", "/v1/drain");
    for (TargetResponse reply : replies.stream().filter(TargetResponse::ok).toList()) {
      if (JsonOutput.isRequested(arguments)) {
        reporter.printJson(JsonOutput.encode(new DrainStarted(reply.target().name())));
      } else {
        reporter.printLine(reply.target().name() + " drains");
      }
    }
    return reportFailures(replies, reporter);
  }
}
