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
  public ExplainCommand(Function<Namespace, Fleet> fleets) {
    super("explain", "show what is remembered of a request", fleets);
  }

  @Override
  public void declare(Subparser parser) {
    super.declare(parser);
    parser
        .addArgument("request")
        .metavar("REQUEST-ID")
        .help("the request as the header Agatepier-Request names it");
  }

  @Override
  ExitCode run(Namespace arguments, Fleet fleet, Reporter reporter) {
    String request = arguments.getString("request");
    if (!REQUEST.matcher(request).matches()) {
      reporter.error("'" + request + "' is not a request's name, such as router-1/5f3a/17");
      return ExitCode.USAGE;
    }
    List<Reply> replies = ask(fleet, "GET", "/v1/requests/" + request);
    List<Reply> known = replies.stream().filter(Reply::ok).toList();
    known.forEach(reply -> report(reply, arguments, reporter));
    if (!known.isEmpty()) {
      return ExitCode.OK;
    }
    boolean unreachable = replies.stream().anyMatch(reply -> reply.answer().isEmpty());
    reporter.error(
        unreachable
            ? "no process that could be reached remembers the request"
            : "no process remembers the request");
    return unreachable || replies.isEmpty() ? ExitCode.UNREACHABLE : ExitCode.FINDINGS;
  }

  private static void report(Reply reply, Namespace arguments, Reporter reporter) {
    JsonNode body = reply.answer().orElseThrow().body();
    if (JsonOutput.wanted(arguments)) {
      reporter.json(body);
      return;
    }
    String reason = body.path("reason").asText();
    String outcome = body.path("outcome").asText();
    reporter.line(
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
    reporter.line("  %-10s  %s".formatted(name, value));
  }
}
