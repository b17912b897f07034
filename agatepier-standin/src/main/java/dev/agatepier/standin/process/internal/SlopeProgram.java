package dev.agatepier.standin.process.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The program {@code slope}: how control's cost grows, measured with the real decisions. */
public final class SlopeProgram implements StandinProgram {

  private static final List<SlopeBenchmark> KINDS =
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
        .choices(KINDS.stream().map(SlopeBenchmark::name).toList());
    parser.addArgument("--sizes").metavar("N,N,...").help("sizes to measure at");
  }

  @Override
  public int run(Namespace options) {
    String name = options.getString("kind");
    SlopeBenchmark kind = KINDS.stream().filter(each -> each.name().equals(name)).findFirst().get();
    String given = options.getString("sizes");
    List<Integer> sizes =
        given == null
            ? kind.sizes()
            : Arrays.stream(given.split(",")).map(Integer::parseInt).toList();
    kind.measure(sizes.getFirst());
    Map<String, List<Double>> values = new LinkedHashMap<>();
    for (int size : sizes) {
      for (SlopeMeasurement figure : kind.measure(size)) {
        String label = figure.name() + ", " + figure.unit();
        values.computeIfAbsent(label, key -> new ArrayList<>()).add(figure.value());
      }
    }
    System.out.print(table(kind, sizes, values));
    return 0;
  }

  private static String table(
      SlopeBenchmark kind, List<Integer> sizes, Map<String, List<Double>> values) {
    StringBuilder text = new StringBuilder();
    text.append(String.format(Locale.ROOT, "%-38s", kind.name()));
    sizes.forEach(size -> text.append(String.format(Locale.ROOT, "%10d", size)));
    text.append(
        String.format(
            Locale.ROOT, "%12s%12s%9s%12s%n", "slope", "intercept", "residual", kind.target()));
    values.forEach((label, row) -> text.append(line(kind, sizes, label, row)));
    return text.toString();
  }

  private static String line(
      SlopeBenchmark kind, List<Integer> sizes, String label, List<Double> values) {
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
                fit.at(kind.target())))
        .toString();
  }
}
