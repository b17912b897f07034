package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.AttemptMessage.AttemptCredit;
import dev.agatepier.core.connection.AttemptMessage.WithdrawAttempt;
import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.RequestId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** A sidecar that is connected to this router. */
final class ConnectedSidecar implements AttemptTarget {

  final PeerIdentity peer;

  boolean draining;
  boolean leaving;

  /** The sidecar's clock in its last heartbeat, in milliseconds; empty before the first one. */
  OptionalLong clockMillis = OptionalLong.empty();

  private final Map<RequestId, RoutedRequest> running = new LinkedHashMap<>();

  ConnectedSidecar(PeerIdentity peer) {
    this.peer = peer;
  }

  @Override
  public String name() {
    return peer.instance();
  }

  @Override
  public Map<RequestId, RoutedRequest> running() {
    return running;
  }

  @Override
  public RouterEffect withdraw(AttemptId attempt) {
    return new RouterEffect.Send(name(), new WithdrawAttempt(attempt));
  }

  @Override
  public RouterEffect credit(AttemptId attempt, long bytes) {
    return new RouterEffect.Send(name(), new AttemptCredit(attempt, bytes));
  }

  boolean acceptsWork() {
    return !draining && !leaving;
  }
}
