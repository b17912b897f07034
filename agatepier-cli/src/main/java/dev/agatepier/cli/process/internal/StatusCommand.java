package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import java.util.List;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;

/** Shows what processes say about themselves. */
public final class StatusCommand extends FleetCommand {

  /** Creates the command. */
  public StatusCommand(Function<Namespace, FleetClient> fleets) {
    super("status", "show versions, links and state of processes", fleets);
  }

  @Override
  ExitCode run(Namespace arguments, FleetClient fleet, Reporter reporter) {
    List<TargetResponse> replies = callAll(fleet, "GET", "/v1/status");
    TextTable table =
        new TextTable("instance", "role", "data centre", "service", "table", "list", "links", "");
    for (TargetResponse reply : replies.stream().filter(TargetResponse::ok).toList()) {
      JsonNode status = reply.response().orElseThrow().body();
      if (JsonOutput.isRequested(arguments)) {
        reporter.printJson(status);
      }
      table.addRow(
          status.path("instance").asText(reply.target().name()),
          status.path("role").asText(),
          status.path("dataCentre").asText(),
          status.path("service").asText(),
          status.path("tableVersion").asText(),
          status.path("instancesVersion").asText(),
          status.path("links").size(),
          status.path("draining").asBoolean() ? "draining" : "");
    }
    if (!JsonOutput.isRequested(arguments) && replies.stream().anyMatch(TargetResponse::ok)) {
      table.print(reporter);
    }
    return reportFailures(replies, reporter);
  }
}
