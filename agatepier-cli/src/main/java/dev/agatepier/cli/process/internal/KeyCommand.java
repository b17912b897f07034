package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import dev.agatepier.core.version.TableBounds;
import dev.agatepier.wire.request.Digests;
import java.util.HexFormat;
import java.util.function.Supplier;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The key command: prints a new random key of a workspace and its digest for the table. */
public final class KeyCommand implements Subcommand {

  private final Supplier<byte[]> randomBytes;

  /** JSON output: a key and its digest. */
  private record Key(String key, String digest) {}

  /** Creates the command; the supplier returns the random part of a key. */
  public KeyCommand(Supplier<byte[]> randomBytes) {
    this.randomBytes = randomBytes;
  }

  @Override
  public String name() {
    return "key";
  }

  @Override
  public String help() {
    return "print a new key of a workspace and its digest for the table";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser.addArgument("workspace").metavar("WORKSPACE").help("name of the workspace");
    JsonOutput.addArgument(parser);
  }

  @Override
  public ExitCode run(Namespace arguments, Reporter reporter) {
    String workspace = arguments.getString("workspace");
    if (!TableBounds.isValidName(workspace)) {
      reporter.printError("'" + workspace + "' is not a valid workspace name");
      return ExitCode.USAGE;
    }
    String text = workspace + ":" + HexFormat.of().formatHex(randomBytes.get());
    Key key = new Key(text, Digests.of(text));
    if (JsonOutput.isRequested(arguments)) {
      reporter.printJson(JsonOutput.encode(key));
    } else {
      reporter.printLine("key     " + key.key());
      reporter.printLine("digest  " + key.digest());
    }
    return ExitCode.OK;
  }
}
