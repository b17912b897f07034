package dev.agatepier.standin.process.internal;

import dev.agatepier.core.process.ManagedService;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** A program that serves on an address until the process is stopped. */
abstract class ListeningProgram implements StandinProgram {

  @Override
  public void addArguments(Subparser parser) {
    parser.addArgument("--address").setDefault("127.0.0.1").help("IP number to listen on");
    parser.addArgument("--port").type(Integer.class).setDefault(0).help("TCP port, 0 for any");
    addProgramArguments(parser);
  }

  @Override
  public int run(Namespace options) {
    String address = options.getString("address");
    ListeningService service = create(address, options.getInt("port"), options);
    service.start().join();
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(service, stopped)));
    System.out.println(
        Json.object()
            .put("event", "listening")
            .put("address", address)
            .put("port", service.port()));
    stopped.join();
    return 0;
  }

  private static void stop(ManagedService service, CompletableFuture<Void> stopped) {
    service.stop().join();
    stopped.complete(null);
  }

  /** Adds the arguments other than {@code --address} and {@code --port}. */
  abstract void addProgramArguments(Subparser parser);

  /** Creates the service, not started, from the parsed arguments. */
  abstract ListeningService create(String address, int port, Namespace options);

  /** Adds an integer argument with a default. */
  static Argument addIntegerArgument(Subparser parser, String name, int defaultValue) {
    return parser.addArgument(name).type(Integer.class).setDefault(defaultValue);
  }

  /** Returns the value of an optional file argument. */
  static Optional<Path> optionalFile(Namespace options, String name) {
    return Optional.ofNullable(options.getString(name)).map(Path::of);
  }
}
