package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.RequestId;
import java.util.Map;

/** A sidecar or upstream to which a router sends attempts. */
interface AttemptTarget {

  /** Returns the name of the sidecar or the upstream. */
  String name();

  /**
   * Returns the requests sent to the target and not finished; the caller adds and removes entries.
   */
  Map<RequestId, RoutedRequest> running();

  /** Returns the effect that cancels an attempt, or prevents its start. */
  RouterEffect withdraw(AttemptId attempt);

  /** Returns the effect that lets the target send that many more bytes of a response. */
  RouterEffect credit(AttemptId attempt, long bytes);
}
