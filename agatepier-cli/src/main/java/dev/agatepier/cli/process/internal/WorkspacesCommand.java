package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import java.util.Collection;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The workspaces command: shows share, backlog, limits and waits of workspaces, summed over the
 * processes called. The limits apply to each router, not to the sum.
 */
public final class WorkspacesCommand extends FleetCommand {

  /** Creates the command; the factory creates a client for the parsed arguments. */
  public WorkspacesCommand(Function<Namespace, FleetClient> fleetFactory) {
    super("workspaces", "show backlog, cost and waits of workspaces", fleetFactory);
  }

  @Override
  ExitCode run(Namespace arguments, FleetClient fleet, Reporter reporter) {
    List<TargetResult> results = callAll(fleet, "GET", "/v1/workspaces");
    SortedMap<String, SortedMap<String, WorkspaceUsage>> services = new TreeMap<>();
    for (TargetResult result : results.stream().filter(TargetResult::ok).toList()) {
      for (JsonNode entry : result.response().orElseThrow().body().path("workspaces")) {
        WorkspaceUsage usage = WorkspaceUsage.of(entry);
        services
            .computeIfAbsent(usage.service(), name -> new TreeMap<>())
            .merge(usage.workspace(), usage, WorkspaceUsage::plus);
      }
    }
    for (SortedMap<String, WorkspaceUsage> usages : services.values()) {
      if (JsonOutput.isRequested(arguments)) {
        usages.values().forEach(usage -> reporter.printJson(JsonOutput.encode(usage)));
      } else {
        reporter.printLine(usages.firstEntry().getValue().service());
        table(usages.values()).print(reporter);
      }
    }
    return reportFailures(results, reporter);
  }

  private static TextTable table(Collection<WorkspaceUsage> usages) {
    double total = usages.stream().mapToDouble(WorkspaceUsage::cost).sum();
    TextTable table =
        new TextTable(
            "workspace",
            "weight",
            "share",
            "waiting",
            "running",
            "done",
            "not",
            "p50",
            "p95",
            "p99 ms");
    for (WorkspaceUsage usage : usages) {
      table.addRow(
          usage.workspace(),
          usage.weight(),
          Math.round(total > 0 ? 100 * usage.cost() / total : 0) + " %",
          ofLimit(usage.waiting(), usage.maximumWaiting()),
          ofLimit(usage.running(), usage.maximumRunning()),
          usage.completed(),
          usage.notCompleted(),
          Math.round(usage.p50()),
          Math.round(usage.p95()),
          Math.round(usage.p99()));
    }
    return table;
  }

  private static String ofLimit(int count, int limit) {
    return limit < 0 ? Integer.toString(count) : count + "/" + limit;
  }
}
