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

/** Checks, compares and shows tables. */
public final class TableCommand implements Subcommand {

  private static final String CHECK = "check";
  private static final String DIFF = "diff";

  private final String action;
  private final Function<String, Platform> platforms;

  /** What {@code check} prints of a sound table. */
  private record Sound(long version, int workspaces, int services) {}

  /**
   * Creates the command of one action.
   *
   * @param action {@code check}, {@code diff} or {@code show}
   * @param platforms gives the platform at an address
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
      case DIFF -> "compare two files with the published table or with two others";
      default -> "show a table";
    };
  }

  @Override
  public void declare(Subparser parser) {
    parser
        .addArgument("files")
        .nargs(action.equals("show") ? "*" : "+")
        .metavar("FILE")
        .help("the workspaces file, then the services file");
    if (!action.equals(CHECK)) {
      MutuallyExclusiveGroup other = parser.addMutuallyExclusiveGroup();
      other.addArgument("--platform").metavar("URL").help("take the published table");
      other.addArgument("--against").nargs(2).metavar("FILE").help("take two other files");
    }
    JsonOutput.declare(parser);
  }

  @Override
  public ExitCode run(Namespace arguments, Reporter reporter) {
    List<String> files = arguments.getList("files");
    if (files.size() != 2 && !(files.isEmpty() && other(arguments))) {
      reporter.error("name the workspaces file and the services file, or another source");
      return ExitCode.USAGE;
    }
    try {
      return runSound(arguments, files, reporter);
    } catch (TableException failure) {
      for (var mistake : failure.mistakes()) {
        if (JsonOutput.wanted(arguments)) {
          reporter.json(JsonOutput.encode(mistake));
        } else {
          reporter.line(mistake.toString());
        }
      }
      return ExitCode.FINDINGS;
    }
  }

  private ExitCode runSound(Namespace arguments, List<String> files, Reporter reporter) {
    return switch (action) {
      case CHECK -> check(TableFiles.read(files), arguments, reporter);
      case DIFF -> {
        if (files.isEmpty() || !other(arguments)) {
          reporter.error("name two files and either --platform or --against");
          yield ExitCode.USAGE;
        }
        Table before = otherTable(arguments);
        yield differ(before, TableFiles.read(files), arguments, reporter);
      }
      default -> {
        Table table = files.isEmpty() ? otherTable(arguments) : TableFiles.read(files);
        yield show(table, arguments, reporter);
      }
    };
  }

  private static boolean other(Namespace arguments) {
    return arguments.get("platform") != null || arguments.get("against") != null;
  }

  private Table otherTable(Namespace arguments) {
    String address = arguments.getString("platform");
    return address == null
        ? TableFiles.read(arguments.getList("against"))
        : TableFiles.published(platforms.apply(address));
  }

  private static ExitCode check(Table table, Namespace arguments, Reporter reporter) {
    Sound sound = new Sound(table.version(), table.workspaces().size(), table.services().size());
    if (JsonOutput.wanted(arguments)) {
      reporter.json(JsonOutput.encode(sound));
    } else {
      reporter.line(
          sound.workspaces() + " workspaces and " + sound.services() + " services, sound");
    }
    return ExitCode.OK;
  }

  private static ExitCode differ(
      Table before, Table after, Namespace arguments, Reporter reporter) {
    TableDifference difference = TableDifference.between(before, after);
    if (JsonOutput.wanted(arguments)) {
      reporter.json(JsonOutput.encode(difference));
    } else {
      difference.changes().forEach(change -> report(change, reporter));
    }
    return difference.changes().isEmpty() ? ExitCode.OK : ExitCode.FINDINGS;
  }

  private static void report(TableDifference.Change change, Reporter reporter) {
    reporter.line(change.kind().name().toLowerCase() + " " + change.file() + " " + change.name());
    change.before().forEach(cell -> reporter.line("  - " + cell));
    change.after().forEach(cell -> reporter.line("  + " + cell));
  }

  private static ExitCode show(Table table, Namespace arguments, Reporter reporter) {
    if (JsonOutput.wanted(arguments)) {
      reporter.json(JsonOutput.encode(table));
      return ExitCode.OK;
    }
    TextTable workspaces =
        new TextTable("workspace", "weight", "waiting", "running", "cost/min", "services");
    for (Workspace row : new TreeMap<>(table.workspaces()).values()) {
      workspaces.add(
          row.name(),
          row.weight(),
          row.limits().waiting(),
          row.limits().running(),
          row.limits().costPerMinute(),
          String.join(";", row.services().stream().sorted().toList()));
    }
    TextTable services = new TextTable("service", "kind", "deadline ms", "retry share", "calls");
    for (ServiceEntry row : new TreeMap<>(table.services()).values()) {
      services.add(
          row.name(),
          row.kind().name().toLowerCase(),
          row.deadlineMillis(),
          row.retryShare(),
          row.idempotentCalls().size() + " idempotent");
    }
    reporter.line("table version " + table.version());
    workspaces.print(reporter);
    services.print(reporter);
    return ExitCode.OK;
  }
}
