package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.RouterEffect;
import dev.agatepier.core.request.AttemptId;
import dev.agatepier.core.request.RequestId;
import java.util.Map;

/** Where an attempt runs, as its router sees it. */
interface AttemptTarget {

  /** Returns the name of the sidecar or the upstream. */
  String name();

  /** Returns the requests that it was sent and has not finished with. */
  Map<RequestId, RoutedRequest> running();

  /** Returns what has an attempt stopped, or never started. */
  RouterEffect withdraw(AttemptId attempt);

  /** Returns what has more of an answer read. */
  RouterEffect credit(AttemptId attempt, long bytes);
}
