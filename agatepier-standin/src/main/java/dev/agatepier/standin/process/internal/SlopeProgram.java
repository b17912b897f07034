package dev.agatepier.standin.process.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * The {@code slope} program: measures how the overhead of the control plane grows with the size of
 * the fleet, with the real decision classes.
 */
public final class SlopeProgram implements StandinProgram {

  private static final List<SlopeBenchmark> BENCHMARKS =
      List.of(
          FleetSlope.workspacesKnown(),
          FleetSlope.workspacesBacklogged(),
          FleetSlope.sidecarsPerService(),
          FleetSlope.routers(),
          new MembershipSlope(),
          new TableSlope(),
          new LinkSlope());

  @Override
  public String name() {
    return "slope";
  }

  @Override
  public void addArguments(Subparser parser) {
    parser
        .addArgument("--kind")
        .required(true)
        .choices(BENCHMARKS.stream().map(SlopeBenchmark::name).toList());
    parser.addArgument("--sizes").metavar("N,N,...").help("sizes to measure at");
  }

  @Override
  public int run(Namespace options) {
    String name = options.getString("kind");
    SlopeBenchmark benchmark =
        BENCHMARKS.stream().filter(each -> each.name().equals(name)).findFirst().get();
    String given = options.getString("sizes");
    List<Integer> sizes =
        given == null
            ? benchmark.sizes()
            : Arrays.stream(given.split(",")).map(Integer::parseInt).toList();
    benchmark.measure(sizes.getFirst());
    Map<String, List<Double>> values = new LinkedHashMap<>();
    for (int size : sizes) {
      for (SlopeMeasurement measurement : benchmark.measure(size)) {
        String label = measurement.name() + ", " + measurement.unit();
        values.computeIfAbsent(label, key -> new ArrayList<>()).add(measurement.value());
      }
    }
    System.out.print(table(benchmark, sizes, values));
    return 0;
  }

  private static String table(
      SlopeBenchmark benchmark, List<Integer> sizes, Map<String, List<Double>> values) {
    StringBuilder text = new StringBuilder();
    text.append(String.format(Locale.ROOT, "%-38s", benchmark.name()));
    sizes.forEach(size -> text.append(String.format(Locale.ROOT, "%10d", size)));
    text.append(
        String.format(
            Locale.ROOT,
            "%12s%12s%9s%12s%n",
            "slope",
            "intercept",
            "residual",
            benchmark.target()));
    values.forEach((label, row) -> text.append(line(benchmark, sizes, label, row)));
    return text.toString();
  }

  private static String line(
      SlopeBenchmark benchmark, List<Integer> sizes, String label, List<Double> values) {
    StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-38s", label));
    values.forEach(value -> text.append(String.format(Locale.ROOT, "%10.4g", value)));
    LinearFit fit = LinearFit.of(sizes, values);
    return text.append(
            String.format(
                Locale.ROOT,
                "%12.3g%12.4g%8.1f%%%12.4g%n",
                fit.slope(),
                fit.intercept(),
                100 * fit.residual(),
                fit.at(benchmark.target())))
        .toString();
  }
}
