package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.cli.process.ExitCode;
import dev.agatepier.cli.process.Reporter;
import java.util.List;
import java.util.Map;
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
    reporter.line(reply.target().name());
    for (Map.Entry<String, JsonNode> field : body.properties()) {
      String value = field.getValue().isTextual() ? field.getValue().asText() : null;
      reporter.line("  " + field.getKey() + ": " + (value == null ? field.getValue() : value));
    }
  }
}
