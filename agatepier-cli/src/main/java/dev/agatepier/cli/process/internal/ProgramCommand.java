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
 * Starts one of the programs.
 *
 * @param <S> its settings
 */
public final class ProgramCommand<S> {

  private final String name;
  private final Function<Path, S> settingsReader;
  private final Program<S> program;

  /** Creates the command of a program. */
  public ProgramCommand(String name, Function<Path, S> settingsReader, Program<S> program) {
    this.name = name;
    this.settingsReader = settingsReader;
    this.program = program;
  }

  /** Returns the word it is called by. */
  public String name() {
    return name;
  }

  /** Adds its arguments. */
  public void addArguments(Subparser parser) {
    parser
        .addArgument("--settings")
        .required(true)
        .metavar("FILE")
        .help("settings of the " + name + ", JSON");
  }

  /** Reads the settings and runs the program; nothing if the settings are wrong. */
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
