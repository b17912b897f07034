package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.standin.process.Endpoint;
import dev.agatepier.standin.process.HttpCaller;
import dev.agatepier.standin.process.LoadScenario;
import dev.agatepier.standin.process.PlatformClient;
import dev.agatepier.standin.process.ServiceCaller;
import dev.agatepier.standin.request.PlannedCall;
import dev.agatepier.standin.version.TrialWorkspace;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The {@code load} program: runs an open-loop load of calls and reports the results. */
public final class LoadProgram implements StandinProgram {

  /** Exit status if a response had an unexpected body or no outcome header. */
  private static final int EXIT_VIOLATED = 4;

  @Override
  public String name() {
    return "load";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser.addArgument("--routers").required(true).metavar("URL[,URL...]");
    parser.addArgument("--scenario").setDefault("tanpura").help("tanpura, beridze or a JSON file");
    parser.addArgument("--seconds").type(Double.class).setDefault(10.0);
    parser.addArgument("--seed").type(Long.class).setDefault(1L);
    parser.addArgument("--timeout-seconds").type(Integer.class).setDefault(120);
    parser.addArgument("--json").metavar("FILE").help("writes the report to this file");
    parser
        .addArgument("--platform")
        .metavar("URL")
        .help("publishes the scenario's table to this platform");
    parser.addArgument("--administration").metavar("URL[,URL...]").help("processes to measure");
    parser.addArgument("--key-file").metavar("FILE").help("administration key");
  }

  @Override
  public int run(Namespace options) {
    LoadScenario scenario = scenario(options.getString("scenario"));
    List<Endpoint> routers = endpoints(options.getString("routers"));
    long seed = options.getLong("seed");
    double seconds = options.getDouble("seconds");
    List<PlannedCall> plan = LoadPlan.create(scenario, routers.size(), seconds, seed);
    HttpCaller http = new HttpCaller();
    TaskScheduler scheduler = new TaskScheduler("load");
    FleetSampler sampler =
        new FleetSampler(
            http, endpoints(options.getString("administration")), key(options), scheduler);
    Duration timeout = Duration.ofSeconds(options.getInt("timeout_seconds"));
    publish(options.getString("platform"), scenario, http, sampler);
    List<JsonNode> metricsBefore = sampler.metrics().join();
    sampler.start();
    LoadStatistics.Result result =
        LoadRun.start(
                plan,
                routers,
                new ServiceCaller(http, timeout),
                scheduler,
                new LoadStatistics(
                    scenario.workspaces().stream().map(TrialWorkspace::name).toList()))
            .join();
    List<JsonNode> metricsAfter = sampler.metrics().join();
    LoadReport report =
        new LoadReport(
            scenario.name(),
            seed,
            seconds,
            result,
            FleetMeasures.of(sampler.stop()),
            metricsAfter.isEmpty()
                ? null
                : FleetMeasures.controlBytes(metricsAfter)
                    .since(FleetMeasures.controlBytes(metricsBefore)));
    System.out.print(report.text());
    write(options.getString("json"), report);
    http.stop().join();
    return report.violated() ? EXIT_VIOLATED : 0;
  }

  private static void publish(
      String platform, LoadScenario scenario, HttpCaller http, FleetSampler sampler) {
    for (Endpoint endpoint : endpoints(platform)) {
      new PlatformClient(http, endpoint)
          .publishTable(
              PlatformClient.ANY_VERSION,
              TrialWorkspace.toCsv(scenario.workspaces()),
              scenario.servicesCsv())
          .thenCompose(sampler::awaitTableVersion)
          .join();
    }
  }

  private static LoadScenario scenario(String name) {
    return switch (name) {
      case "tanpura" -> LoadScenario.tanpura();
      case "beridze" -> LoadScenario.beridze();
      default -> Json.read(readFile(name), LoadScenario.class);
    };
  }

  private static List<Endpoint> endpoints(String list) {
    return list == null
        ? List.of()
        : Stream.of(list.split(","))
            .map(each -> Endpoint.parse(each.replace("http://", "").replaceAll("/$", "")))
            .toList();
  }

  private static String key(Namespace options) {
    String file = options.getString("key_file");
    return file == null ? "" : new String(readFile(file)).strip();
  }

  private static byte[] readFile(String file) {
    try {
      return Files.readAllBytes(Path.of(file));
    } catch (IOException failure) {
      throw new IllegalArgumentException(file + " cannot be read", failure);
    }
  }

  private static void write(String file, LoadReport report) {
    if (file == null) {
      return;
    }
    try {
      Files.writeString(Path.of(file), Json.writeIndented(report));
    } catch (IOException failure) {
      throw new IllegalArgumentException(file + " cannot be written", failure);
    }
  }
}
