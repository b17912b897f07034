package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Program;
import dev.agatepier.cli.process.Reporter;
import dev.agatepier.cli.process.SettingsException;
import dev.agatepier.cli.process.SettingsReader;
import dev.agatepier.wire.process.RouterSettings;
import dev.agatepier.wire.process.SidecarSettings;
import dev.agatepier.wire.version.Platform;
import dev.agatepier.wire.version.PlatformClient;
import dev.agatepier.wire.version.PlatformException;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import reactor.netty.http.client.HttpClient;

/** Parses the command line and runs the command that it names. */
public final class CommandLine {

  private static final int LINE_WIDTH = 80;
  private static final int KEY_BYTES = 32;
  private static final String ACTION_KEY = "chosen";

  private final Reporter reporter;
  private final ArgumentParser parser =
      ArgumentParsers.newFor("agatepier")
          .terminalWidthDetection(false)
          .defaultFormatWidth(LINE_WIDTH)
          .build()
          .description("Router fleet for workspaces that share capacity fairly.")
          .epilog(
              "Exit codes: 0 success, 1 findings, 2 invalid command line or settings,"
                  + " 3 unreachable, 4 timeout.");

  /** Runs a parsed command and returns its exit code. */
  @FunctionalInterface
  private interface Action {
    int run(Namespace arguments);
  }

  /** Creates the parser with all commands. */
  public CommandLine(
      Reporter reporter, Program<RouterSettings> router, Program<SidecarSettings> sidecar) {
    this.reporter = reporter;
    Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
    add(commands, new ProgramCommand<>("router", SettingsReader::readRouter, router));
    add(commands, new ProgramCommand<>("sidecar", SettingsReader::readSidecar, sidecar));
    add(commands, new KeyCommand(CommandLine::randomKey));
    Function<String, Platform> platforms = url -> new PlatformClient(HttpClient.create(), url);
    Subparsers tableActions =
        commands
            .addParser("table")
            .help("check, compare and show tables")
            .addSubparsers()
            .metavar("ACTION");
    for (String action : List.of("check", "diff", "show")) {
      add(tableActions, new TableCommand(action, platforms));
    }
    Function<Namespace, FleetClient> fleetFactory =
        arguments -> FleetArguments.createClient(arguments, platforms);
    add(commands, new StatusCommand(fleetFactory));
    add(commands, new WatchCommand(fleetFactory, System::nanoTime, CommandLine::sleep));
    add(commands, new WorkspacesCommand(fleetFactory));
    add(commands, new ExplainCommand(fleetFactory));
    add(commands, new DrainCommand(fleetFactory));
  }

  /** Runs the command that the arguments name and returns its exit code. */
  public int run(String[] arguments) {
    try {
      Namespace namespace = parser.parseArgs(arguments);
      return namespace.<Action>get(ACTION_KEY).run(namespace);
    } catch (HelpScreenException helpShown) {
      return ExitCode.OK.code();
    } catch (ArgumentParserException failure) {
      reporter.printError(failure.getMessage());
      return ExitCode.USAGE.code();
    } catch (SettingsException failure) {
      failure.mistakes().forEach(mistake -> reporter.printError(mistake.toString()));
      return ExitCode.USAGE.code();
    } catch (PlatformException failure) {
      return reportUnreachable(failure);
    } catch (CompletionException failure) {
      return reportUnreachable(failure.getCause());
    }
  }

  private int reportUnreachable(Throwable failure) {
    reporter.printError(failure.getMessage());
    return ExitCode.UNREACHABLE.code();
  }

  private void add(Subparsers parsers, Subcommand command) {
    Subparser subparser = parsers.addParser(command.name()).help(command.help());
    command.addArguments(subparser);
    Action action = arguments -> command.run(arguments, reporter).code();
    subparser.setDefault(ACTION_KEY, action);
  }

  private <S> void add(Subparsers parsers, ProgramCommand<S> command) {
    Subparser subparser = parsers.addParser(command.name()).help("run a " + command.name());
    command.addArguments(subparser);
    Action action = arguments -> command.run(arguments, reporter).orElse(ExitCode.USAGE.code());
    subparser.setDefault(ACTION_KEY, action);
  }

  private static byte[] randomKey() {
    byte[] key = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(key);
    return key;
  }

  private static void sleep(long millis) {
    LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
  }
}
