package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.standin.process.Endpoint;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * The {@code proxy} program: runs a TCP proxy. The arguments {@code --address} and {@code --port}
 * are those of its HTTP control interface.
 */
public final class ProxyProgram extends ListeningProgram {

  @Override
  public String name() {
    return "proxy";
  }

  @Override
  void addProgramArguments(Subparser parser) {
    parser.addArgument("--listen").metavar("ADDRESS:PORT").help("listen address of the only route");
    parser.addArgument("--target").metavar("ADDRESS:PORT").help("target address of the only route");
    parser.addArgument("--routes").metavar("FILE").help("JSON file with named routes");
    parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the jitter");
  }

  @Override
  ListeningService create(String address, int port, Namespace options) {
    return new ProxyStandin(routes(options), address, port, options.getLong("seed"));
  }

  private static List<ProxyRoute.Settings> routes(Namespace options) {
    String file = options.getString("routes");
    if (file != null) {
      return readRoutes(Path.of(file));
    }
    if (options.getString("listen") == null || options.getString("target") == null) {
      throw new IllegalArgumentException("either --routes or --listen and --target are needed");
    }
    return List.of(
        new ProxyRoute.Settings(
            "route",
            Endpoint.parse(options.getString("listen")),
            Endpoint.parse(options.getString("target"))));
  }

  private static List<ProxyRoute.Settings> readRoutes(Path file) {
    try {
      return Json.read(Files.readAllBytes(file), JsonNode.class)
          .path("routes")
          .valueStream()
          .map(
              route ->
                  new ProxyRoute.Settings(
                      route.path("name").asText(),
                      Endpoint.parse(route.path("listen").asText()),
                      Endpoint.parse(route.path("target").asText())))
          .toList();
    } catch (IOException failure) {
      throw new IllegalArgumentException("cannot read the routes file " + file, failure);
    }
  }
}
