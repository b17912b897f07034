package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.SettingsException;
import dev.agatepier.cli.process.SettingsMistake;
import dev.agatepier.wire.process.Secret;
import dev.agatepier.wire.version.Platform;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.MutuallyExclusiveGroup;
import net.sourceforge.argparse4j.inf.Namespace;
import reactor.netty.http.client.HttpClient;

/** Arguments that select the processes a command calls. */
public final class FleetArguments {

  private FleetArguments() {}

  static void addTo(ArgumentParser parser) {
    MutuallyExclusiveGroup where = parser.addMutuallyExclusiveGroup().required(true);
    where
        .addArgument("--address")
        .action(Arguments.append())
        .metavar("ADDRESS:PORT")
        .help("address of a process's administration API; may be repeated");
    where
        .addArgument("--instances")
        .metavar("URL")
        .help("base URL of the platform; selects the processes of its instance list");
    parser
        .addArgument("--only")
        .action(Arguments.append())
        .metavar("INSTANCE")
        .help("call only this instance; may be repeated");
    parser
        .addArgument("--key-file")
        .required(true)
        .metavar("FILE")
        .help("file that holds the key of the administration API");
    JsonOutput.addArgument(parser);
  }

  /** Creates a client of the processes that the arguments select. */
  public static FleetClient createClient(
      Namespace arguments, Function<String, Platform> platforms) {
    return new HttpFleetClient(
        HttpClient.create(),
        readKey(Path.of(arguments.getString("key_file"))),
        listArgument(arguments, "address").stream().map(FleetArguments::parseTarget).toList(),
        Optional.ofNullable(arguments.getString("instances")).map(platforms),
        listArgument(arguments, "only"));
  }

  private static List<String> listArgument(Namespace arguments, String name) {
    return Objects.requireNonNullElse(arguments.<String>getList(name), List.of());
  }

  private static Secret readKey(Path file) {
    try {
      return new Secret(Files.readString(file).strip());
    } catch (IOException failure) {
      throw mistake("--key-file", "the file cannot be read");
    }
  }

  private static FleetClient.Target parseTarget(String text) {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      return new FleetClient.Target(text, "", text.substring(0, Math.max(colon, 0)), port);
    } catch (NumberFormatException notPort) {
      throw mistake("--address", "'" + text + "' is not an address and a port");
    }
  }

  private static SettingsException mistake(String argument, String reason) {
    return new SettingsException(List.of(new SettingsMistake(argument, reason)));
  }
}
