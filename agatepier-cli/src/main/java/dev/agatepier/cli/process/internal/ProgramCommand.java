package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ProcessSignals;
import dev.agatepier.cli.process.Program;
import dev.agatepier.cli.process.Reporter;
import dev.agatepier.cli.process.SettingsDefaults;
import dev.agatepier.cli.process.SettingsException;
import dev.agatepier.wire.process.ProcessorSettings;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * Command that runs a program with the settings of a file.
 *
 * @param <S> type of the program's settings
 */
public final class ProgramCommand<S> {

  private static final String CORE_SHARE = "core_share";
  private static final String DEFAULTS = "defaults";

  private final String name;
  private final BiFunction<Path, SettingsDefaults, S> settingsReader;
  private final Program<S> program;

  /** Creates the command; the reader throws {@link SettingsException} if a file is invalid. */
  public ProgramCommand(
      String name, BiFunction<Path, SettingsDefaults, S> settingsReader, Program<S> program) {
    this.name = name;
    this.settingsReader = settingsReader;
    this.program = program;
  }

  /** Returns the name of the command. */
  public String name() {
    return name;
  }

  /** Adds the command's arguments to its parser. */
  public void addArguments(Subparser parser) {
    parser
        .addArgument("--settings")
        .required(true)
        .metavar("FILE")
        .help("file with the settings of the " + name + ", in JSON");
    parser
        .addArgument("--cores")
        .type(Integer.class)
        .setDefault(ProcessorSettings.DEFAULT.cores())
        .help("cores of the instance, unless the settings state them");
    parser
        .addArgument("--core-share")
        .type(Double.class)
        .setDefault(ProcessorSettings.DEFAULT.share())
        .help("share of each core that the process may use; 0 if unknown");
    parser
        .addArgument("--default")
        .dest(DEFAULTS)
        .metavar("FIELD=JSON")
        .action(Arguments.append())
        .help("value of a field that the settings don't state, such as slots.evenLoad=true");
  }

  /** Reads the settings and runs the program; empty if the settings are invalid. */
  public Optional<Integer> run(Namespace arguments, Reporter reporter) {
    Path file = Path.of(arguments.getString("settings"));
    SettingsDefaults defaults;
    try {
      defaults =
          new SettingsDefaults(
              new ProcessorSettings(arguments.getInt("cores"), arguments.getDouble(CORE_SHARE)),
              fields(Optional.ofNullable(arguments.<String>getList(DEFAULTS)).orElse(List.of())));
    } catch (IllegalArgumentException invalid) {
      reporter.printError(invalid.getMessage());
      return Optional.empty();
    }
    S settings;
    try {
      settings = settingsReader.apply(file, defaults);
    } catch (SettingsException failure) {
      failure.mistakes().forEach(mistake -> reporter.printError(mistake.toString()));
      return Optional.empty();
    }
    ProcessSignals.onHangup(
        new SettingsChangeDetector<>(() -> settingsReader.apply(file, defaults), settings)
            ::checkForChanges);
    return Optional.of(program.run(settings));
  }

  private static Map<String, String> fields(List<String> defaults) {
    Map<String, String> fields = new HashMap<>();
    for (String text : defaults) {
      int separator = text.indexOf('=');
      if (separator < 1) {
        throw new IllegalArgumentException("--default must be FIELD=JSON, but is " + text);
      }
      fields.put(text.substring(0, separator), text.substring(separator + 1));
    }
    return fields;
  }
}
