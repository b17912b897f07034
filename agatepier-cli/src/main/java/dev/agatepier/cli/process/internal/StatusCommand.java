package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import java.util.List;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;

/** The status command: shows versions, links and state of processes. */
public final class StatusCommand extends FleetCommand {

  /** Creates the command; the factory creates a client for the parsed arguments. */
  public StatusCommand(Function<Namespace, FleetClient> fleetFactory) {
    super("status", "show versions, links and state of processes", fleetFactory);
  }

  @Override
  ExitCode run(Namespace arguments, FleetClient fleet, Reporter reporter) {
    List<TargetResult> results = callAll(fleet, "GET", "/v1/status");
    TextTable table =
        new TextTable("instance", "role", "data centre", "service", "table", "list", "links", "");
    for (TargetResult result : results.stream().filter(TargetResult::ok).toList()) {
      JsonNode status = result.response().orElseThrow().body();
      if (JsonOutput.isRequested(arguments)) {
        reporter.printJson(status);
      }
      table.addRow(
          status.path("instance").asText(result.target().name()),
          status.path("role").asText(),
          status.path("dataCentre").asText(),
          status.path("service").asText(),
          status.path("tableVersion").asText(),
          status.path("instancesVersion").asText(),
          status.path("links").size(),
          status.path("draining").asBoolean() ? "draining" : "");
    }
    if (!JsonOutput.isRequested(arguments) && results.stream().anyMatch(TargetResult::ok)) {
      table.print(reporter);
    }
    return reportFailures(results, reporter);
  }
}
