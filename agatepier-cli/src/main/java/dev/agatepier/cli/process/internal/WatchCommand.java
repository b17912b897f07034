package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import dev.agatepier.core.process.MonotonicClock;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The watch command: polls processes until all of them run a table version. */
public final class WatchCommand extends FleetCommand {

  private static final long INTERVAL_MILLIS = 250;
  private static final int DEFAULT_TIMEOUT_SECONDS = 30;

  private final MonotonicClock clock;
  private final Pause pause;

  /** Creates the command; clock and pause are replaceable for tests. */
  public WatchCommand(
      Function<Namespace, FleetClient> fleetFactory, MonotonicClock clock, Pause pause) {
    super(
        "watch", "watch the rollout of a table version until every process runs it", fleetFactory);
    this.clock = clock;
    this.pause = pause;
  }

  @Override
  public void addArguments(Subparser parser) {
    super.addArguments(parser);
    parser
        .addArgument("--version")
        .type(Long.class)
        .metavar("N")
        .help("version to wait for (default: the highest that any process runs)");
    parser
        .addArgument("--timeout")
        .type(Integer.class)
        .setDefault(DEFAULT_TIMEOUT_SECONDS)
        .metavar("SECONDS")
        .help("timeout of the watch");
  }

  @Override
  ExitCode run(Namespace arguments, FleetClient fleet, Reporter reporter) {
    long startNanos = clock.nanoTime();
    long timeoutNanos = TimeUnit.SECONDS.toNanos(arguments.getInt("timeout"));
    VersionRollout last = null;
    while (true) {
      List<TargetResult> results = callAll(fleet, "GET", "/v1/status");
      VersionRollout rollout = VersionRollout.of(targetVersion(arguments, results), results);
      long elapsedNanos = clock.nanoTime() - startNanos;
      if (!rollout.equals(last)) {
        report(rollout, elapsedNanos, arguments, reporter);
      }
      if (rollout.complete() && rollout.version() > 0) {
        return ExitCode.OK;
      }
      if (elapsedNanos >= timeoutNanos) {
        reporter.printError("not every process runs the version within the timeout");
        return ExitCode.TIMEOUT;
      }
      last = rollout;
      pause.pause(INTERVAL_MILLIS);
    }
  }

  private static long targetVersion(Namespace arguments, List<TargetResult> results) {
    Long version = arguments.getLong("version");
    return version == null
        ? results.stream().mapToLong(VersionRollout::version).max().orElse(0)
        : version;
  }

  private static void report(
      VersionRollout rollout, long elapsedNanos, Namespace arguments, Reporter reporter) {
    if (JsonOutput.isRequested(arguments)) {
      reporter.printJson(JsonOutput.encode(rollout));
      return;
    }
    double seconds = elapsedNanos / (double) TimeUnit.SECONDS.toNanos(1);
    reporter.printLine("after %.1f s".formatted(seconds));
    rollout.lines().forEach(line -> reporter.printLine("  " + line));
  }
}
