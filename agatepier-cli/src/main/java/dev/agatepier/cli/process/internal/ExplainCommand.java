package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import java.util.List;
import java.util.function.Function;
import java.util.regex.Pattern;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Shows what processes remember of a request. */
public final class ExplainCommand extends FleetCommand {

  private static final Pattern REQUEST = Pattern.compile("[a-z0-9._-]+/[0-9a-f]+/[0-9]+");

  /** Creates the command. */
  public ExplainCommand(Function<Namespace, FleetClient> fleets) {
    super("explain", "show what is remembered of a request", fleets);
  }

  @Override
  public void addArguments(Subparser parser) {
    super.addArguments(parser);
    parser
        .addArgument("request")
        .metavar("REQUEST-ID")
        .help("the request as the header Agatepier-Request names it");
  }

  @Override
  ExitCode run(Namespace arguments, FleetClient fleet, Reporter reporter) {
    String request = arguments.getString("request");
    if (!REQUEST.matcher(request).matches()) {
      reporter.printError("'" + request + "' is not a request's name, such as router-1/5f3a/17");
      return ExitCode.USAGE;
    }
    List<TargetResponse> replies = callAll(fleet, "GET", "/v1/requests/" + request);
    List<TargetResponse> known = replies.stream().filter(TargetResponse::ok).toList();
    known.forEach(reply -> report(reply, arguments, reporter));
    if (!known.isEmpty()) {
      return ExitCode.OK;
    }
    boolean unreachable = replies.stream().anyMatch(reply -> reply.response().isEmpty());
    reporter.printError(
        unreachable
            ? "no process that could be reached remembers the request"
            : "no process remembers the request");
    return unreachable || replies.isEmpty() ? ExitCode.UNREACHABLE : ExitCode.FINDINGS;
  }

  private static void report(TargetResponse reply, Namespace arguments, Reporter reporter) {
    JsonNode body = reply.response().orElseThrow().body();
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
    line(reporter, "workspace", body.path("workspace").asText());
    line(reporter, "service", body.path("service").asText());
    String sidecar = body.path("sidecar").asText();
    String last = sidecar.isEmpty() ? "" : ", last at " + sidecar;
    line(reporter, "attempts", body.path("attempts").asInt() + last);
    line(reporter, "wait", body.path("waitMillis").asLong() + " ms");
    line(reporter, "first byte", body.path("firstByteMillis").asLong() + " ms");
    line(reporter, "total", body.path("totalMillis").asLong() + " ms");
    line(reporter, "cost", "%.1f".formatted(body.path("cost").asDouble()));
  }

  private static void line(Reporter reporter, String name, String value) {
    reporter.printLine("  %-10s  %s".formatted(name, value));
  }
}
