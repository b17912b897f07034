package dev.agatepier.wire.connection;

import dev.agatepier.core.process.RouterEffect.RunAttempt;
import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.core.request.Header;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.ResponseHead;
import dev.agatepier.core.request.UpstreamLoadReport;
import dev.agatepier.core.request.UpstreamNotice;
import dev.agatepier.core.version.Upstream;
import dev.agatepier.wire.request.UpstreamDialect;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * Upstreams echo the request number in the header {@code label} and send {@code not-run: 1} for an
 * attempt that they did not run, and {@code leaving: 1} if they are leaving. They state their
 * incarnation as the body at {@code /incarnation}.
 */
final class FakeUpstreamDialect implements UpstreamDialect {

  private static final int OK = 200;
  private static final int MISDIRECTED = 421;

  @Override
  public List<Header> headers(RunAttempt attempt) {
    return List.of(
        new Header("host", "a"),
        new Header("label", Long.toString(attempt.attempt().request().number())),
        new Header("time-left", Long.toString(attempt.timeLeftMillis())));
  }

  @Override
  public Classification classifyResponse(RunAttempt attempt, int status, List<Header> headers) {
    String expected = Long.toString(attempt.attempt().request().number());
    String label = firstValue(headers, "label");
    if (!label.isEmpty() && !label.equals(expected)) {
      return new Classification.Mismatched();
    }
    if (!firstValue(headers, "not-run").isEmpty()) {
      return new Classification.NotRun(
          status == MISDIRECTED ? Reason.UPSTREAM_OTHER : Reason.UPSTREAM_BUSY, !label.isEmpty());
    }
    return label.isEmpty()
        ? new Classification.Malformed("no label")
        : new Classification.Matched(
            new ResponseHead(status, List.of()),
            firstValue(headers, "content-type").equals("events"));
  }

  @Override
  public Notice notice(RunAttempt attempt, int status, List<Header> headers) {
    boolean leaving = !firstValue(headers, "leaving").isEmpty();
    return new Notice(new UpstreamNotice(leaving, OptionalLong.empty()), "");
  }

  @Override
  public Optional<CallHead> incarnationRequest(Upstream upstream) {
    List<Header> headers = List.of(new Header("host", upstream.name()));
    return Optional.of(new CallHead("GET", "/incarnation", headers));
  }

  @Override
  public OptionalLong readIncarnation(int status, Bytes body) {
    return status == OK && body.text().matches("[0-9]+")
        ? OptionalLong.of(Long.parseLong(body.text()))
        : OptionalLong.empty();
  }

  @Override
  public LoadStatement readLoad(List<Header> headers) {
    String load = firstValue(headers, "load");
    if (load.isEmpty()) {
      return new LoadStatement.Absent();
    }
    return load.equals("unreadable")
        ? new LoadStatement.Unreadable()
        : new LoadStatement.Stated(
            new UpstreamLoadReport(Integer.parseInt(load), 0, 8, OptionalInt.empty()));
  }

  private static String firstValue(List<Header> headers, String name) {
    return headers.stream()
        .filter(header -> header.name().equals(name))
        .map(Header::value)
        .findFirst()
        .orElse("");
  }
}
