package dev.agatepier.standin.process.internal;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The {@code platform} program: serves a stand-in of the platform. */
public final class PlatformProgram extends ListeningProgram {

  @Override
  public String name() {
    return "platform";
  }

  @Override
  void addProgramArguments(Subparser parser) {
    parser
        .addArgument("--state")
        .metavar("FILE")
        .help("file that keeps the published table and instances");
  }

  @Override
  ListeningService create(String address, int port, Namespace options) {
    return new PlatformStandin(address, port, optionalFile(options, "state"));
  }
}
