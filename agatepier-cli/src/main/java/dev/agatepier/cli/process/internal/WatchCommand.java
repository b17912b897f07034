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
  public WatchCommand(Function<Namespace, Fleet> fleets, MonotonicClock clock, Pause pause) {
    super("watch", "watch a table version spread until every process runs it", fleets);
    this.clock = clock;
    this.pause = pause;
  }

  @Override
  public void declare(Subparser parser) {
    super.declare(parser);
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
  ExitCode run(Namespace arguments, Fleet fleet, Reporter reporter) {
    long started = clock.nanoTime();
    long timeoutNanos = TimeUnit.SECONDS.toNanos(arguments.getInt("timeout"));
    VersionSpread last = null;
    while (true) {
      List<Reply> replies = ask(fleet, "GET", "/v1/status");
      VersionSpread spread = VersionSpread.of(wanted(arguments, replies), replies);
      long passed = clock.nanoTime() - started;
      if (!spread.equals(last)) {
        report(spread, passed, arguments, reporter);
      }
      if (spread.complete() && spread.version() > 0) {
        return ExitCode.OK;
      }
      if (passed >= timeoutNanos) {
        reporter.error("not every process runs the version within the timeout");
        return ExitCode.TIMEOUT;
      }
      last = spread;
      pause.pause(INTERVAL_MILLIS);
    }
  }

  private static long wanted(Namespace arguments, List<Reply> replies) {
    Long version = arguments.getLong("version");
    return version == null
        ? replies.stream().mapToLong(VersionSpread::version).max().orElse(0)
        : version;
  }

  private static void report(
      VersionSpread spread, long passedNanos, Namespace arguments, Reporter reporter) {
    if (JsonOutput.wanted(arguments)) {
      reporter.json(JsonOutput.encode(spread));
      return;
    }
    double seconds = passedNanos / (double) TimeUnit.SECONDS.toNanos(1);
    reporter.line("after %.1f s".formatted(seconds));
    spread.lines().forEach(line -> reporter.line("  " + line));
  }
}
