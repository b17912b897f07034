package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.wire.process.RequestReport;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Remembers how the latest requests ended; owned by the router's task. */
public final class RequestHistory {

  /** Requests remembered. */
  private static final int CAPACITY = 4_096;

  private final Map<RequestId, RequestReport> ended = new LinkedHashMap<>();

  /** Remembers the end of a request. */
  public void recordEnded(
      RequestId request, Outcome outcome, Optional<Reason> reason, RequestMetadata facts) {
    ended.put(request, RequestReport.ended(request, outcome, reason, facts));
    if (ended.size() > CAPACITY) {
      ended.remove(ended.keySet().iterator().next());
    }
  }

  /** Returns how a request ended, if it is remembered. */
  public Optional<RequestReport> find(RequestId request) {
    return Optional.ofNullable(ended.get(request));
  }
}
