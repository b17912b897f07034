package dev.agatepier.standin.process.internal;

import dev.agatepier.standin.process.LoadScenario;
import dev.agatepier.standin.process.ProcessFleet;
import dev.agatepier.standin.process.RegionalLayout;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * The {@code experiment} program: runs a load on a whole fleet under one policy and reports the
 * measurements.
 */
public final class ExperimentProgram implements StandinProgram {

  private static final int EXIT_VIOLATED = 4;
  private static final int DEADLINE_SECONDS = 20;

  @Override
  public String name() {
    return "experiment";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser.addArgument("--scenario").choices("tanpura", "beridze").setDefault("tanpura");
    parser.addArgument("--policy").choices(ExperimentPolicy.NAMES).setDefault("late-binding");
    parser.addArgument("--seconds").type(Double.class).setDefault(30.0);
    parser.addArgument("--seed").type(Long.class).setDefault(1L);
    parser
        .addArgument("--load")
        .type(Double.class)
        .setDefault(1.0)
        .help("factor applied to all call rates");
    parser.addArgument("--engines").type(Integer.class).setDefault(8);
    parser.addArgument("--plain").type(Integer.class).setDefault(3).help("plain upstreams");
    parser
        .addArgument("--batch")
        .setDefault("16")
        .help("maximum number of running streams of an engine");
    parser
        .addArgument("--best-batch")
        .setDefault("8")
        .help("running streams up to which the token gap is constant");
    parser.addArgument("--token-millis").setDefault("20").help("token gap of an engine");
    parser.addArgument("--across-millis").type(Long.class).setDefault(20L);
    parser.addArgument("--json").metavar("FILE").help("writes the report to this file");
    parser
        .addArgument("--report")
        .metavar("FILE")
        .help("writes an SVG plot of the gap to this file");
  }

  @Override
  public int run(Namespace options) {
    String policy = options.getString("policy");
    Experiment experiment =
        new Experiment(
            policy, layout(options, policy), options.getDouble("seconds"), options.getLong("seed"));
    ExperimentReport report = experiment.run(new ProcessFleet(folder()));
    System.out.print(report.text());
    write(options.getString("json"), Json.writeIndented(report));
    write(options.getString("report"), plot(report, experiment.layout().scenario()));
    return report.load().violated() ? EXIT_VIOLATED : 0;
  }

  private static RegionalLayout layout(Namespace options, String policy) {
    LoadScenario scenario =
        options.getString("scenario").equals("tanpura")
            ? LoadScenario.tanpura()
            : LoadScenario.beridze();
    return new RegionalLayout(
        scenario.scaledBy(options.getDouble("load")),
        1,
        options.getInt("engines"),
        options.getInt("plain"),
        1,
        options.getLong("across_millis"),
        DEADLINE_SECONDS,
        List.of(
            "--batch",
            options.getString("batch"),
            "--best-batch",
            options.getString("best_batch"),
            "--token-millis",
            options.getString("token_millis")),
        ExperimentPolicy.forName(policy));
  }

  private static String plot(ExperimentReport report, LoadScenario scenario) {
    String service = scenario.modelService();
    return new GapPlot(
            report.sampleMillis(),
            report.load().services().get(service).imbalances(),
            report.bounds().get(service).unaccountedCost())
        .svg("%s, %s: gap over inverse weights".formatted(report.policy(), service));
  }

  private static Path folder() {
    try {
      return Files.createTempDirectory("agatepier-experiment");
    } catch (IOException failure) {
      throw new IllegalStateException("cannot create a temporary directory", failure);
    }
  }

  private static void write(String file, String text) {
    if (file == null) {
      return;
    }
    try {
      Files.writeString(Path.of(file), text);
    } catch (IOException failure) {
      throw new IllegalArgumentException(file + " cannot be written", failure);
    }
  }
}
