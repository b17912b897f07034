package dev.agatepier.standin.process.internal;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The {@code engine} program: serves a stand-in of a model engine. */
public final class EngineProgram extends ListeningProgram {

  @Override
  public String name() {
    return "engine";
  }

  @Override
  void addProgramArguments(Subparser parser) {
    addIntegerArgument(parser, "--batch", 8).help("maximum number of concurrently running streams");
    addIntegerArgument(parser, "--best-batch", 0)
        .help("running streams up to which the token gap is constant; 0 for half the batch");
    parser.addArgument("--token-millis").type(Double.class).setDefault(10.0);
    parser.addArgument("--prefill-tokens-per-second").type(Double.class).setDefault(20_000.0);
    addIntegerArgument(parser, "--cache-prefixes", 512)
        .help("capacity of the prefix cache, in prompt blocks");
    addIntegerArgument(parser, "--load-lag-millis", 500)
        .help("interval between samples of the reported load");
    parser.addArgument("--seed").type(Long.class).setDefault(1L);
    parser
        .addArgument("--record")
        .metavar("FILE")
        .help("appends a record of each request to this file");
  }

  @Override
  ListeningService create(String address, int port, Namespace options) {
    int batch = options.getInt("batch");
    int bestBatch = options.getInt("best_batch");
    EngineSettings settings =
        new EngineSettings(
            batch,
            bestBatch == 0 ? Math.max(1, batch / 2) : bestBatch,
            options.getDouble("token_millis"),
            options.getDouble("prefill_tokens_per_second"),
            options.getInt("cache_prefixes"),
            options.getInt("load_lag_millis"));
    return new EngineStandin(
        address, port, settings, options.getLong("seed"), optionalFile(options, "record"));
  }
}
