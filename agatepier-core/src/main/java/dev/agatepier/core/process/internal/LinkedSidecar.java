package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.request.RequestId;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** One sidecar with a link that is up. */
final class LinkedSidecar {

  final PeerIdentity peer;

  /** Requests that it was sent and has not finished with. */
  final Map<RequestId, RoutedRequest> running = new LinkedHashMap<>();

  boolean draining;
  boolean leaving;

  /** The sidecar's clock as last heard, in milliseconds. */
  OptionalLong clockMillis = OptionalLong.empty();

  LinkedSidecar(PeerIdentity peer) {
    this.peer = peer;
  }

  String name() {
    return peer.instance();
  }

  boolean takesWork() {
    return !draining && !leaving;
  }
}
