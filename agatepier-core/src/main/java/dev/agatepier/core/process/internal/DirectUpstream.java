package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Upstream;
import java.util.LinkedHashMap;
import java.util.Map;

/** An upstream that the router calls itself, without a sidecar. */
final class DirectUpstream implements AttemptTarget {

  private final Map<RequestId, RoutedRequest> running = new LinkedHashMap<>();
  private final UpstreamNotices notices;
  private Upstream upstream;

  DirectUpstream(Upstream upstream, UpstreamNotices notices) {
    this.upstream = upstream;
    this.notices = notices;
  }

  /** Returns what the upstream has said in its responses. */
  UpstreamNotices notices() {
    return notices;
  }

  /**
   * Records that another software version is listed under its name. A stream that still runs may
   * come from that version, so that it cannot be continued.
   */
  void onVersionReplaced() {
    running.values().stream()
        .filter(RoutedRequest::receivesResponse)
        .forEach(request -> request.softwareVersion = RoutedRequest.UNCERTAIN_VERSION);
  }

  /** Returns the latest entry of the instance list for this upstream. */
  Upstream upstream() {
    return upstream;
  }

  /** Replaces the entry by a newer one for the same incarnation. */
  void update(Upstream newer) {
    upstream = newer;
  }

  @Override
  public String name() {
    return upstream.name();
  }

  @Override
  public Map<RequestId, RoutedRequest> running() {
    return running;
  }

  @Override
  public RouterEffect withdraw(AttemptId attempt) {
    return new RouterEffect.CancelAttempt(attempt);
  }

  @Override
  public RouterEffect credit(AttemptId attempt, long bytes) {
    return new RouterEffect.ReadAttempt(attempt, bytes);
  }
}
