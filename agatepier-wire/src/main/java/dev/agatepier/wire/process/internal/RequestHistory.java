package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.RequestFacts;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Remembers how the latest requests ended; owned by the router's task. */
public final class RequestHistory {

  /** Requests remembered. */
  private static final int CAPACITY = 4_096;

  private final Map<String, Ended> ended = new LinkedHashMap<>();

  /**
   * How a request ended.
   *
   * @param request name of the request
   * @param outcome what its caller was told
   * @param reason why it failed; empty if it was answered whole
   * @param facts what it cost and how long it took
   */
  public record Ended(String request, String outcome, String reason, RequestFacts facts) {}

  /** Remembers the end of a request. */
  public void ended(
      RequestId request, Outcome outcome, Optional<Reason> reason, RequestFacts facts) {
    String name = request.toString();
    ended.put(name, new Ended(name, outcome.code(), reason.map(Reason::code).orElse(""), facts));
    if (ended.size() > CAPACITY) {
      ended.remove(ended.keySet().iterator().next());
    }
  }

  /** Returns how a request ended, if it is remembered. */
  public Optional<Ended> find(String request) {
    return Optional.ofNullable(ended.get(request));
  }
}
