package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.Program;
import dev.agatepier.cli.process.Reporter;
import dev.agatepier.cli.process.SettingsException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.function.Function;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * Command that runs a program with the settings of a file.
 *
 * @param <S> type of the program's settings
 */
public final class ProgramCommand<S> {

  private final String name;
  private final Function<Path, S> settingsReader;
  private final Program<S> program;

  /** Creates the command; the reader throws {@link SettingsException} if a file is invalid. */
  public ProgramCommand(String name, Function<Path, S> settingsReader, Program<S> program) {
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
  }

  /** Reads the settings and runs the program; empty if the settings are invalid. */
  public Optional<Integer> run(Namespace arguments, Reporter reporter) {
    Path file = Path.of(arguments.getString("settings"));
    S settings;
    try {
      settings = settingsReader.apply(file);
    } catch (SettingsException failure) {
      failure.mistakes().forEach(mistake -> reporter.printError(mistake.toString()));
      return Optional.empty();
    }
    HangupSignal.handle(
        new SettingsChangeDetector<>(() -> settingsReader.apply(file), settings)::checkForChanges);
    return Optional.of(program.run(settings));
  }
}
