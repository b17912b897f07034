package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import java.util.List;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;

/** Begins a graceful stop of processes. */
public final class DrainCommand extends FleetCommand {

  /** What is printed of a process that begins to drain. */
  private record Draining(String instance) {}

  /** Creates the command. */
  public DrainCommand(Function<Namespace, Fleet> fleets) {
    super("drain", "begin a graceful stop of processes", fleets);
  }

  @Override
  ExitCode run(Namespace arguments, Fleet fleet, Reporter reporter) {
    if (arguments.get("instances") != null && arguments.get("only") == null) {
      reporter.error("name the instances to drain with --only");
      return ExitCode.USAGE;
    }
    List<Reply> replies = ask(fleet, "POST", "/v1/drain");
    for (Reply reply : replies.stream().filter(Reply::ok).toList()) {
      if (JsonOutput.wanted(arguments)) {
        reporter.json(JsonOutput.encode(new Draining(reply.target().name())));
      } else {
        reporter.line(reply.target().name() + " drains");
      }
    }
    return reportFailures(replies, reporter);
  }
}
