package dev.agatepier.standin.process.internal;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The program {@code plain}. */
public final class PlainProgram extends ListeningProgram {

  @Override
  public String name() {
    return "plain";
  }

  @Override
  void addProgramArguments(Subparser parser) {
    addIntegerArgument(parser, "--service-millis", 20).help("time that a call takes");
    addIntegerArgument(parser, "--concurrency", 4).help("calls that are served at one time");
    parser.addArgument("--record").metavar("FILE").help("appends each record to this file");
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
