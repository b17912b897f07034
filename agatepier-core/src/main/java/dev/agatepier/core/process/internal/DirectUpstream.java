package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.version.Upstream;
import java.util.LinkedHashMap;
import java.util.Map;

/** One upstream that the router calls itself. */
final class DirectUpstream implements AttemptTarget {

  private final Map<RequestId, RoutedRequest> running = new LinkedHashMap<>();
  private Upstream upstream;

  DirectUpstream(Upstream upstream) {
    this.upstream = upstream;
  }

  /** Returns the upstream as it was last listed. */
  Upstream upstream() {
    return upstream;
  }

  /** Takes a newer entry of the list for the same upstream. */
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
