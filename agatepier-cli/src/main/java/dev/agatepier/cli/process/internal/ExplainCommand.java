package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** The explain command: shows the records that processes keep of a request. */
public final class ExplainCommand extends FleetCommand {

  private static final Pattern REQUEST_ID = Pattern.compile("[a-z0-9._-]+/[0-9a-f]+/[0-9]+");

  /** Creates the command; the factory creates a client for the parsed arguments. */
  public ExplainCommand(Function<Namespace, FleetClient> fleetFactory) {
    super("explain", "show what the processes know about a request", fleetFactory);
  }

  @Override
  public void addArguments(Subparser parser) {
    super.addArguments(parser);
    parser
        .addArgument("request")
        .metavar("REQUEST-ID")
        .help("id of the request, from the response header Agatepier-Request");
  }

  @Override
  ExitCode run(Namespace arguments, FleetClient fleet, Reporter reporter) {
    String request = arguments.getString("request");
    if (!REQUEST_ID.matcher(request).matches()) {
      reporter.printError("'" + request + "' is not a request id, such as router-1/5f3a/17");
      return ExitCode.USAGE;
    }
    List<TargetResult> results = callAll(fleet, "GET", "/v1/requests/" + request);
    List<TargetResult> known = results.stream().filter(TargetResult::ok).toList();
    known.forEach(result -> report(result, arguments, reporter));
    if (!known.isEmpty()) {
      return ExitCode.OK;
    }
    boolean unreachable = results.stream().anyMatch(result -> result.response().isEmpty());
    reporter.printError(
        unreachable ? "no reachable process knows the request" : "no process knows the request");
    return unreachable || results.isEmpty() ? ExitCode.UNREACHABLE : ExitCode.FINDINGS;
  }

  private static void report(TargetResult result, Namespace arguments, Reporter reporter) {
    JsonNode body = result.response().orElseThrow().body();
    if (JsonOutput.isRequested(arguments)) {
      reporter.printJson(body);
      return;
    }
    String reason = body.path("reason").asText();
    String outcome = body.path("outcome").asText();
    reporter.printLine(
        "%s %s%s%s"
            .formatted(
                body.path("request").asText(),
                body.path("state").asText(),
                outcome.isEmpty() ? "" : ", " + outcome,
                reason.isEmpty() ? "" : ": " + reason));
    printField(reporter, "workspace", body.path("workspace").asText());
    printField(reporter, "service", body.path("service").asText());
    String sidecar = body.path("sidecar").asText();
    String last = sidecar.isEmpty() ? "" : ", last at " + sidecar;
    printField(reporter, "attempts", body.path("attempts").asInt() + last);
    printField(reporter, "wait", body.path("waitMillis").asLong() + " ms");
    printField(reporter, "first byte", body.path("firstByteMillis").asLong() + " ms");
    printField(reporter, "total", body.path("totalMillis").asLong() + " ms");
    printField(reporter, "cost", "%.1f".formatted(body.path("cost").asDouble()));
  }

  private static void printField(Reporter reporter, String name, String value) {
    reporter.printLine("  %-10s  %s".formatted(name, value));
  }
}
