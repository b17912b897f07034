package dev.agatepier.standin.process.internal;

import dev.agatepier.standin.request.CallOutcome;
import java.util.Map;

/**
 * What a load reports.
 *
 * @param scenario name of the scenario
 * @param seed seed of the plan
 * @param seconds length of the plan, in seconds
 * @param calls what callers saw
 * @param services measures of the fleet by service; empty without administration addresses
 * @param controlBytes control bytes that the fleet sent meanwhile; absent where none were read
 */
record LoadReport(
    String scenario,
    long seed,
    double seconds,
    LoadStatistics.Result calls,
    Map<String, FleetMeasures.ServiceMeasures> services,
    FleetMeasures.ControlBytes controlBytes) {

  private static final String ROW = "%-22s %6s %6s %6s %6s %6s %10s %10s%n";

  /** Returns whether an answer was wrong or not marked as it must be. */
  boolean violated() {
    return calls.outcomes().containsKey(CallOutcome.WRONG)
        || calls.outcomes().containsKey(CallOutcome.UNMARKED);
  }

  /** Returns a table of at most 80 columns. */
  String text() {
    StringBuilder text = new StringBuilder();
    text.append("scenario %s, seed %d, %.1f s%n".formatted(scenario, seed, seconds));
    text.append(
        ROW.formatted(
            "workspace", "done", "refus.", "other", "share", "cost", "first95 ms", "total95 ms"));
    calls.workspaces().forEach((name, part) -> text.append(row(name, part)));
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

  private static String row(String name, LoadStatistics.WorkspaceResult part) {
    long done = part.outcomes().getOrDefault(CallOutcome.COMPLETED, 0L);
    long refused = part.outcomes().getOrDefault(CallOutcome.NOT_RUN, 0L);
    long all = part.outcomes().values().stream().mapToLong(Long::longValue).sum();
    return ROW.formatted(
        name,
        done,
        refused,
        all - done - refused,
        Math.round(100 * part.share()) + "%",
        part.cost(),
        Math.round(part.firstByte().p95()),
        Math.round(part.total().p95()));
  }

  private static String times(String name, LoadStatistics.Times times) {
    return "%-10s n=%d p50=%.1f p95=%.1f p99=%.1f max=%.1f ms%n"
        .formatted(name, times.count(), times.p50(), times.p95(), times.p99(), times.max());
  }
}
