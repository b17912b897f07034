package dev.agatepier.standin.process.internal;

import dev.agatepier.standin.request.CallOutcome;
import java.util.Map;

/**
 * Results of a load.
 *
 * @param scenario name of the scenario
 * @param seed seed of the plan
 * @param seconds length of the plan, in seconds
 * @param calls results of the calls
 * @param services measurements of the fleet by service; empty without administration addresses
 * @param controlBytes control bytes that the fleet sent during the load; null if no metrics were
 *     read
 */
record LoadReport(
    String scenario,
    long seed,
    double seconds,
    LoadStatistics.Result calls,
    Map<String, FleetMeasures.ServiceMeasures> services,
    FleetMeasures.ControlBytes controlBytes) {

  private static final String ROW = "%-22s %6s %6s %6s %6s %6s %10s %10s%n";

  /** Returns whether a response had an unexpected body or lacked the fleet's outcome header. */
  boolean violated() {
    return calls.outcomes().containsKey(CallOutcome.WRONG)
        || calls.outcomes().containsKey(CallOutcome.UNMARKED);
  }

  /** Formats the report as a table of at most 80 columns. */
  String text() {
    StringBuilder text = new StringBuilder();
    text.append("scenario %s, seed %d, %.1f s%n".formatted(scenario, seed, seconds));
    text.append(
        ROW.formatted(
            "workspace", "done", "refus.", "other", "share", "cost", "first95 ms", "total95 ms"));
    calls.workspaces().forEach((name, result) -> text.append(row(name, result)));
    text.append("outcomes ").append(calls.outcomes()).append('\n');
    calls.reasons().forEach((reason, count) -> text.append("  " + count + " " + reason + "\n"));
    text.append(times("firstbyte", calls.firstByte()));
    text.append(times("total", calls.total()));
    text.append(times("lateness", calls.lateness()));
    services.forEach(
        (service, measures) ->
            text.append(
                "%s: work waited in %d samples, utilisation then %.3f, largest gap %.1f%n"
                    .formatted(
                        service,
                        measures.samples(),
                        measures.utilisation(),
                        measures.largestGap())));
    if (controlBytes != null) {
      text.append(
          "control bytes: %d within regions, %d across%n"
              .formatted(controlBytes.within(), controlBytes.across()));
    }
    return text.toString();
  }

  private static String row(String name, LoadStatistics.WorkspaceResult result) {
    long completed = result.outcomes().getOrDefault(CallOutcome.COMPLETED, 0L);
    long notRun = result.outcomes().getOrDefault(CallOutcome.NOT_RUN, 0L);
    long all = result.outcomes().values().stream().mapToLong(Long::longValue).sum();
    return ROW.formatted(
        name,
        completed,
        notRun,
        all - completed - notRun,
        Math.round(100 * result.share()) + "%",
        result.cost(),
        Math.round(result.firstByte().p95()),
        Math.round(result.total().p95()));
  }

  private static String times(String name, LoadStatistics.Times times) {
    return "%-10s n=%d p50=%.1f p95=%.1f p99=%.1f max=%.1f ms%n"
        .formatted(name, times.count(), times.p50(), times.p95(), times.p99(), times.max());
  }
}
