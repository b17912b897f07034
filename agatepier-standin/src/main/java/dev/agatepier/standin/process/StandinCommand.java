package dev.agatepier.standin.process;

import dev.agatepier.standin.process.internal.DemoProgram;
import dev.agatepier.standin.process.internal.EngineProgram;
import dev.agatepier.standin.process.internal.ExperimentProgram;
import dev.agatepier.standin.process.internal.LoadProgram;
import dev.agatepier.standin.process.internal.PlainProgram;
import dev.agatepier.standin.process.internal.PlatformProgram;
import dev.agatepier.standin.process.internal.ProxyProgram;
import dev.agatepier.standin.process.internal.SlopeProgram;
import dev.agatepier.standin.process.internal.StandinProgram;
import java.util.List;
import java.util.concurrent.CompletionException;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.config.Configurator;

/** Entry point of the command {@code agatepier-standin}, which runs one stand-in program. */
public final class StandinCommand {

  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;
  private static final List<StandinProgram> PROGRAMS =
      List.of(
          new PlatformProgram(),
          new EngineProgram(),
          new PlainProgram(),
          new ProxyProgram(),
          new LoadProgram(),
          new ExperimentProgram(),
          new SlopeProgram(),
          new DemoProgram());

  private StandinCommand() {}

  /** Runs the program named by the first argument; exits with 1 on failure, 2 on misuse. */
  public static void main(String[] arguments) {
    Configurator.setAllLevels(LogManager.ROOT_LOGGER_NAME, Level.ERROR);
    int status = run(arguments);
    if (status != 0) {
      System.exit(status);
    }
  }

  private static int run(String[] arguments) {
    ArgumentParser parser = parser();
    try {
      Namespace options = parser.parseArgs(arguments);
      return options.<StandinProgram>get("program").run(options);
    } catch (HelpScreenException helpShown) {
      parser.handleError(helpShown);
      return 0;
    } catch (ArgumentParserException invalidUsage) {
      parser.handleError(invalidUsage);
      return EXIT_USAGE;
    } catch (CompletionException | IllegalArgumentException | IllegalStateException failure) {
      Throwable cause = failure.getCause() == null ? failure : failure.getCause();
      System.err.println("agatepier-standin: " + cause.getMessage());
      return EXIT_FAILURE;
    }
  }

  private static ArgumentParser parser() {
    ArgumentParser parser =
        ArgumentParsers.newFor("agatepier-standin")
            .build()
            .description("Stand-ins for what surrounds a fleet, for trials and tests.");
    Subparsers programs = parser.addSubparsers().title("programs").metavar("PROGRAM");
    for (StandinProgram program : PROGRAMS) {
      program.addArguments(programs.addParser(program.name()).setDefault("program", program));
    }
    return parser;
  }
}
