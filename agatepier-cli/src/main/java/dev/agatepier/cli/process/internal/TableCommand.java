package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import dev.agatepier.core.version.ServiceEntry;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.TableDifference;
import dev.agatepier.core.version.TableException;
import dev.agatepier.core.version.Workspace;
import dev.agatepier.wire.version.Platform;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.MutuallyExclusiveGroup;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The table commands: check, diff and show. */
public final class TableCommand implements Subcommand {

  private static final String CHECK = "check";
  private static final String DIFF = "diff";

  private final String action;
  private final Function<String, Platform> platforms;

  /** JSON output of {@code check} for a valid table. */
  private record TableSummary(long version, int workspaces, int services) {}

  /**
   * Creates the command of one action.
   *
   * @param action {@code check}, {@code diff} or {@code show}
   * @param platforms creates a client of the platform at a base URL
   */
  public TableCommand(String action, Function<String, Platform> platforms) {
    this.action = action;
    this.platforms = platforms;
  }

  @Override
  public String name() {
    return action;
  }

  @Override
  public String help() {
    return switch (action) {
      case CHECK -> "check the two files of a table";
      case DIFF ->
          "compare the two files of a table with the published table or with two other files";
      default -> "show a table";
    };
  }

  @Override
  public void addArguments(Subparser parser) {
    parser
        .addArgument("files")
        .nargs(action.equals("show") ? "*" : "+")
        .metavar("FILE")
        .help("the workspaces file, then the services file");
    if (!action.equals(CHECK)) {
      MutuallyExclusiveGroup otherSource = parser.addMutuallyExclusiveGroup();
      otherSource
          .addArgument("--platform")
          .metavar("URL")
          .help("use the published table of the platform at this base URL");
      otherSource.addArgument("--against").nargs(2).metavar("FILE").help("use two other files");
    }
    JsonOutput.addArgument(parser);
  }

  @Override
  public ExitCode run(Namespace arguments, Reporter reporter) {
    List<String> files = arguments.getList("files");
    if (files.size() != 2 && !(files.isEmpty() && hasOtherSource(arguments))) {
      reporter.printError("name the workspaces file and the services file, or another source");
      return ExitCode.USAGE;
    }
    try {
      return runAction(arguments, files, reporter);
    } catch (TableException failure) {
      for (var mistake : failure.mistakes()) {
        if (JsonOutput.isRequested(arguments)) {
          reporter.printJson(JsonOutput.encode(mistake));
        } else {
          reporter.printLine(mistake.toString());
        }
      }
      return ExitCode.FINDINGS;
    }
  }

  private ExitCode runAction(Namespace arguments, List<String> files, Reporter reporter) {
    return switch (action) {
      case CHECK -> check(TableLoader.fromFiles(files), arguments, reporter);
      case DIFF -> {
        if (files.isEmpty() || !hasOtherSource(arguments)) {
          reporter.printError("name two files and either --platform or --against");
          yield ExitCode.USAGE;
        }
        Table before = otherTable(arguments);
        yield compare(before, TableLoader.fromFiles(files), arguments, reporter);
      }
      default -> {
        Table table = files.isEmpty() ? otherTable(arguments) : TableLoader.fromFiles(files);
        yield show(table, arguments, reporter);
      }
    };
  }

  private static boolean hasOtherSource(Namespace arguments) {
    return arguments.get("platform") != null || arguments.get("against") != null;
  }

  private Table otherTable(Namespace arguments) {
    String address = arguments.getString("platform");
    return address == null
        ? TableLoader.fromFiles(arguments.getList("against"))
        : TableLoader.fromPlatform(platforms.apply(address));
  }

  private static ExitCode check(Table table, Namespace arguments, Reporter reporter) {
    TableSummary summary =
        new TableSummary(table.version(), table.workspaces().size(), table.services().size());
    if (JsonOutput.isRequested(arguments)) {
      reporter.printJson(JsonOutput.encode(summary));
    } else {
      reporter.printLine(
          summary.workspaces() + " workspaces and " + summary.services() + " services, valid");
    }
    return ExitCode.OK;
  }

  private static ExitCode compare(
      Table before, Table after, Namespace arguments, Reporter reporter) {
    TableDifference difference = TableDifference.between(before, after);
    if (JsonOutput.isRequested(arguments)) {
      reporter.printJson(JsonOutput.encode(difference));
    } else {
      difference.changes().forEach(change -> report(change, reporter));
    }
    return difference.changes().isEmpty() ? ExitCode.OK : ExitCode.FINDINGS;
  }

  private static void report(TableDifference.Change change, Reporter reporter) {
    reporter.printLine(
        change.kind().name().toLowerCase() + " " + change.file() + " " + change.name());
    change.before().forEach(cell -> reporter.printLine("  - " + cell));
    change.after().forEach(cell -> reporter.printLine("  + " + cell));
  }

  private static ExitCode show(Table table, Namespace arguments, Reporter reporter) {
    if (JsonOutput.isRequested(arguments)) {
      reporter.printJson(JsonOutput.encode(table));
      return ExitCode.OK;
    }
    TextTable workspaces =
        new TextTable("workspace", "weight", "waiting", "running", "cost/min", "services");
    for (Workspace row : new TreeMap<>(table.workspaces()).values()) {
      workspaces.addRow(
          row.name(),
          row.weight(),
          row.limits().waiting(),
          row.limits().running(),
          row.limits().costPerMinute(),
          String.join(";", row.services().stream().sorted().toList()));
    }
    TextTable services = new TextTable("service", "kind", "deadline ms", "retry share", "calls");
    for (ServiceEntry row : new TreeMap<>(table.services()).values()) {
      services.addRow(
          row.name(),
          row.kind().name().toLowerCase(),
          row.deadlineMillis(),
          row.retryShare(),
          row.idempotentCalls().size() + " idempotent");
    }
    reporter.printLine("table version " + table.version());
    workspaces.print(reporter);
    services.print(reporter);
    return ExitCode.OK;
  }
}
