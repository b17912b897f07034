package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** A command that asks processes over their administration API. */
abstract class FleetCommand implements Subcommand {

  /**
   * What one process answered.
   *
   * @param target the process
   * @param answer its answer; nothing if it cannot be reached
   */
  record Reply(Fleet.Target target, Optional<Fleet.Answer> answer) {

    boolean ok() {
      return answer.filter(Fleet.Answer::ok).isPresent();
    }
  }

  private final String name;
  private final String help;
  private final Function<Namespace, Fleet> fleets;

  FleetCommand(String name, String help, Function<Namespace, Fleet> fleets) {
    this.name = name;
    this.help = help;
    this.fleets = fleets;
  }

  @Override
  public final String name() {
    return name;
  }

  @Override
  public final String help() {
    return help;
  }

  @Override
  public void declare(Subparser parser) {
    FleetArguments.declare(parser);
  }

  @Override
  public final ExitCode run(Namespace arguments, Reporter reporter) {
    return run(arguments, fleets.apply(arguments), reporter);
  }

  abstract ExitCode run(Namespace arguments, Fleet fleet, Reporter reporter);

  /** Asks all processes at one time. */
  static List<Reply> ask(Fleet fleet, String method, String path) {
    List<CompletableFuture<Reply>> calls =
        fleet.targets().stream()
            .map(
                target ->
                    fleet.call(target, method, path).thenApply(answer -> new Reply(target, answer)))
            .toList();
    return calls.stream().map(CompletableFuture::join).toList();
  }

  /** Reports the processes that gave no answer or refused, and returns the exit code. */
  static ExitCode reportFailures(List<Reply> replies, Reporter reporter) {
    for (Reply reply : replies) {
      if (reply.answer().isEmpty()) {
        reporter.error(reply.target().name() + " cannot be reached");
      } else if (!reply.ok()) {
        reporter.error(reply.target().name() + " answered " + reply.answer().get().status());
      }
    }
    if (replies.isEmpty()) {
      reporter.error("there is no process to ask");
    }
    boolean all = !replies.isEmpty() && replies.stream().allMatch(Reply::ok);
    return all ? ExitCode.OK : ExitCode.UNREACHABLE;
  }
}
