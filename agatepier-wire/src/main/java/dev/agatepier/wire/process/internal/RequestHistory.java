package dev.agatepier.wire.process.internal;

import dev.agatepier.core.process.RequestMetadata;
import dev.agatepier.core.request.Outcome;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.wire.process.RequestReport;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Keeps the reports of the latest ended requests. Confined to the request task of the router. */
public final class RequestHistory {

  /** Maximum number of reports; the oldest one is evicted. */
  private static final int CAPACITY = 4_096;

  private final Map<RequestId, RequestReport> reports = new LinkedHashMap<>();

  /** Records the end of a request. */
  public void recordEnded(
      RequestId request, Outcome outcome, Optional<Reason> reason, RequestMetadata metadata) {
    reports.put(request, RequestReport.ended(request, outcome, reason, metadata));
    if (reports.size() > CAPACITY) {
      reports.remove(reports.keySet().iterator().next());
    }
  }

  /** Returns the report of an ended request; empty if unknown or evicted. */
  public Optional<RequestReport> find(RequestId request) {
    return Optional.ofNullable(reports.get(request));
  }
}
