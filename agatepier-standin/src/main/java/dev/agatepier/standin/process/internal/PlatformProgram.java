package dev.agatepier.standin.process.internal;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The program {@code platform}. */
public final class PlatformProgram extends ListeningProgram {

  @Override
  public String name() {
    return "platform";
  }

  @Override
  void addProgramArguments(Subparser parser) {
    parser.addArgument("--state").metavar("FILE").help("keeps what is published in this file");
  }

  @Override
  ListeningService create(String address, int port, Namespace options) {
    return new PlatformStandin(address, port, optionalFile(options, "state"));
  }
}
