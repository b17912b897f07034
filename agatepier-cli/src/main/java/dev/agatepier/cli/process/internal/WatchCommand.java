package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import dev.agatepier.core.process.MonotonicClock;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Watches a table version spread until every process runs it. */
public final class WatchCommand extends FleetCommand {

  private static final long INTERVAL_MILLIS = 250;
  private static final int DEFAULT_TIMEOUT_SECONDS = 30;

  private final MonotonicClock clock;
  private final Pause pause;

  /** Creates the command. */
  public WatchCommand(Function<Namespace, FleetClient> fleets, MonotonicClock clock, Pause pause) {
    super("watch", "watch a table version spread until every process runs it", fleets);
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
        .help("version to wait for; the highest that any process runs if left out");
    parser
        .addArgument("--timeout")
        .type(Integer.class)
        .setDefault(DEFAULT_TIMEOUT_SECONDS)
        .metavar("SECONDS")
        .help("time after which to give up");
  }

  @Override
  ExitCode run(Namespace arguments, FleetClient fleet, Reporter reporter) {
    long started = clock.nanoTime();
    long timeoutNanos = TimeUnit.SECONDS.toNanos(arguments.getInt("timeout"));
    VersionRollout last = null;
    while (true) {
      List<TargetResponse> replies = callAll(fleet, "GET", "/v1/status");
      VersionRollout spread = VersionRollout.of(wanted(arguments, replies), replies);
      long passed = clock.nanoTime() - started;
      if (!spread.equals(last)) {
        report(spread, passed, arguments, reporter);
      }
      if (spread.complete() && spread.version() > 0) {
        return ExitCode.OK;
      }
      if (passed >= timeoutNanos) {
        reporter.printError("not every process runs the version within the timeout");
        return ExitCode.TIMEOUT;
      }
      last = spread;
      pause.pause(INTERVAL_MILLIS);
    }
  }

  private static long wanted(Namespace arguments, List<TargetResponse> replies) {
    Long version = arguments.getLong("version");
    return version == null
        ? replies.stream().mapToLong(VersionRollout::version).max().orElse(0)
        : version;
  }

  private static void report(
      VersionRollout spread, long passedNanos, Namespace arguments, Reporter reporter) {
    if (JsonOutput.isRequested(arguments)) {
      reporter.printJson(JsonOutput.encode(spread));
      return;
    }
    double seconds = passedNanos / (double) TimeUnit.SECONDS.toNanos(1);
    reporter.printLine("after %.1f s".formatted(seconds));
    spread.lines().forEach(line -> reporter.printLine("  " + line));
  }
}
