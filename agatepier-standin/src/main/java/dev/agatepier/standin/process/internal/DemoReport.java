package dev.agatepier.standin.process.internal;

import dev.agatepier.standin.process.DemoFleet;
import dev.agatepier.standin.process.FleetNode;
import dev.agatepier.standin.process.ProcessFleet;
import dev.agatepier.standin.request.CallOutcome;
import dev.agatepier.standin.request.CallResult;
import dev.agatepier.standin.version.TrialWorkspace;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Formats the output of the demo: a table of the results, and how to call the fleet. */
final class DemoReport {

  private static final String ROW = "%-20s %6s %6s %10s %6s %10s %10s%n";

  private DemoReport() {}

  static String table(List<TrialWorkspace> workspaces, List<CallResult> results) {
    long total = Math.max(1, results.stream().mapToLong(CallResult::cost).sum());
    StringBuilder table = new StringBuilder();
    table.append(
        ROW.formatted("workspace", "weight", "calls", "completed", "share", "wait ms", "cost"));
    for (TrialWorkspace workspace : workspaces) {
      List<CallResult> own =
          results.stream().filter(each -> each.workspace().equals(workspace.name())).toList();
      long cost = own.stream().mapToLong(CallResult::cost).sum();
      table.append(
          ROW.formatted(
              workspace.name(),
              workspace.weight(),
              own.size(),
              own.stream().filter(each -> each.outcome() == CallOutcome.COMPLETED).count(),
              100 * cost / total + "%",
              Math.round(meanWaitMillis(own)),
              cost));
    }
    return table.toString();
  }

  static String instructions(ProcessFleet processes, DemoFleet fleet) {
    StringBuilder text = new StringBuilder("\nThe fleet stays up until you press Ctrl-C.\n");
    text.append("platform  ").append(fleet.platform().httpUrl("")).append('\n');
    for (FleetNode node : fleet.nodes()) {
      text.append(
          "%-24s administration %s%n".formatted(node.name(), node.administration().httpUrl("")));
    }
    text.append("administration key  ").append(processes.keyFile()).append("\n\n");
    String url =
        fleet
            .routers()
            .getFirst()
            .front()
            .httpUrl("/services/" + DemoFleet.MODEL_SERVICE + "/v1/chat/completions");
    return text.append("Try:\n  curl -N ")
        .append(url)
        .append(" \\\n    -H 'Authorization: Bearer ")
        .append(fleet.workspaces().getFirst().key())
        .append(
            "' \\\n    -d '{\"prompt\":\"seat the strings\",\"max_tokens\":20,\"stream\":true}'\n")
        .toString();
  }

  private static double meanWaitMillis(List<CallResult> results) {
    return results.stream()
        .mapToLong(result -> TimeUnit.NANOSECONDS.toMillis(result.waitNanos()))
        .average()
        .orElse(0);
  }
}
