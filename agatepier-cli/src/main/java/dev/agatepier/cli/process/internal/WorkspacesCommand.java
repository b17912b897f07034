package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;

/** Shows backlog, cost and waits of workspaces, summed over the processes asked. */
public final class WorkspacesCommand extends FleetCommand {

  /** Sums of one workspace at one service; percentiles are the highest of any process. */
  private record Usage(
      String workspace,
      String service,
      int waiting,
      int running,
      double cost,
      double p50,
      double p95,
      double p99) {

    static Usage of(JsonNode entry) {
      JsonNode wait = entry.path("waitMillis");
      return new Usage(
          entry.path("workspace").asText(),
          entry.path("service").asText(),
          entry.path("waiting").asInt(),
          entry.path("running").asInt(),
          entry.path("cost").asDouble(),
          wait.path("p50").asDouble(),
          wait.path("p95").asDouble(),
          wait.path("p99").asDouble());
    }

    Usage plus(Usage other) {
      return new Usage(
          workspace,
          service,
          waiting + other.waiting,
          running + other.running,
          cost + other.cost,
          Math.max(p50, other.p50),
          Math.max(p95, other.p95),
          Math.max(p99, other.p99));
    }
  }

  /** Creates the command. */
  public WorkspacesCommand(Function<Namespace, Fleet> fleets) {
    super("workspaces", "show backlog, cost and waits of workspaces", fleets);
  }

  @Override
  ExitCode run(Namespace arguments, Fleet fleet, Reporter reporter) {
    List<Reply> replies = ask(fleet, "GET", "/v1/workspaces");
    Map<String, Usage> sums = new TreeMap<>();
    for (Reply reply : replies.stream().filter(Reply::ok).toList()) {
      for (JsonNode entry : reply.answer().orElseThrow().body().path("workspaces")) {
        Usage usage = Usage.of(entry);
        sums.merge(usage.service() + " " + usage.workspace(), usage, Usage::plus);
      }
    }
    if (JsonOutput.wanted(arguments)) {
      sums.values().forEach(usage -> reporter.json(JsonOutput.encode(usage)));
    } else {
      table(sums).print(reporter);
    }
    return reportFailures(replies, reporter);
  }

  private static TextTable table(Map<String, Usage> sums) {
    Map<String, Double> totals = new TreeMap<>();
    sums.values().forEach(usage -> totals.merge(usage.service(), usage.cost(), Double::sum));
    TextTable table =
        new TextTable(
            "service", "workspace", "share", "waiting", "running", "wait p50", "p95", "p99 ms");
    for (Usage usage : sums.values()) {
      double total = totals.get(usage.service());
      double share = total > 0 ? 100 * usage.cost() / total : 0;
      table.add(
          usage.service(),
          usage.workspace(),
          Math.round(share) + " %",
          usage.waiting(),
          usage.running(),
          Math.round(usage.p50()),
          Math.round(usage.p95()),
          Math.round(usage.p99()));
    }
    return table;
  }
}
