package dev.agatepier.wire.connection;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.wire.request.UpstreamDialect;
import java.util.List;

/** Upstreams name the request in {@code label} and say {@code not-run: 1} of what did not run. */
final class FakeUpstreamDialect implements UpstreamDialect {

  @Override
  public List<Header> headers(RunAttempt attempt) {
    return List.of(
        new Header("host", "a"),
        new Header("label", Long.toString(attempt.attempt().request().number())));
  }

  @Override
  public Classification classifyResponse(RunAttempt attempt, int status, List<Header> headers) {
    String expected = Long.toString(attempt.attempt().request().number());
    String label = first(headers, "label");
    if (label.isEmpty()) {
      return new Classification.Malformed("no label");
    }
    if (!label.equals(expected)) {
      return new Classification.Mismatched();
    }
    return first(headers, "not-run").isEmpty()
        ? new Classification.Matched(
            new ResponseHead(status, List.of()), first(headers, "content-type").equals("events"))
        : new Classification.NotRun(Reason.UPSTREAM_BUSY);
  }

  private static String first(List<Header> headers, String name) {
    return headers.stream()
        .filter(header -> header.name().equals(name))
        .map(Header::value)
        .findFirst()
        .orElse("");
  }
}
