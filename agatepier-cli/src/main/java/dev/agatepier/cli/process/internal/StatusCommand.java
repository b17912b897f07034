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
  public StatusCommand(Function<Namespace, Fleet> fleets) {
    super("status", "show versions, links and state of processes", fleets);
  }

  @Override
  ExitCode run(Namespace arguments, Fleet fleet, Reporter reporter) {
    List<Reply> replies = ask(fleet, "GET", "/v1/status");
    TextTable table =
        new TextTable("instance", "role", "data centre", "service", "table", "list", "links", "");
    for (Reply reply : replies.stream().filter(Reply::ok).toList()) {
      JsonNode status = reply.answer().orElseThrow().body();
      if (JsonOutput.wanted(arguments)) {
        reporter.json(status);
      }
      table.add(
          status.path("instance").asText(reply.target().name()),
          status.path("role").asText(),
          status.path("dataCentre").asText(),
          status.path("service").asText(),
          status.path("tableVersion").asText(),
          status.path("instancesVersion").asText(),
          status.path("links").size(),
          status.path("draining").asBoolean() ? "draining" : "");
    }
    if (!JsonOutput.wanted(arguments) && replies.stream().anyMatch(Reply::ok)) {
      table.print(reporter);
    }
    return reportFailures(replies, reporter);
  }
}
