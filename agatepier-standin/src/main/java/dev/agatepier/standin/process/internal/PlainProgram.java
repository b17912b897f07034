package dev.agatepier.standin.process.internal;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The {@code plain} program: serves a stand-in of a plain service. */
public final class PlainProgram extends ListeningProgram {

  @Override
  public String name() {
    return "plain";
  }

  @Override
  void addProgramArguments(Subparser parser) {
    addIntegerArgument(parser, "--service-millis", 20).help("duration of a call");
    addIntegerArgument(parser, "--concurrency", 4)
        .help("maximum number of concurrently served calls");
    parser
        .addArgument("--record")
        .metavar("FILE")
        .help("appends a record of each request to this file");
  }

  @Override
  ListeningService create(String address, int port, Namespace options) {
    return new PlainStandin(
        address,
        port,
        options.getInt("service_millis"),
        options.getInt("concurrency"),
        optionalFile(options, "record"));
  }
}
