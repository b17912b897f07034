package dev.agatepier.wire.process;

import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.RouterEffect;
import java.util.List;

/** Front end of a router, which accepts requests from callers. */
public interface CallerFrontEnd extends ManagedService {

  /** Performs an effect that concerns a caller; ignores other effects. */
  void perform(RouterEffect effect);

  /** Closes each connection after its next response; new connections are still accepted. */
  void closeAfterResponses();

  /** Returns whether the front end accepts further callers. */
  Readiness readiness();

  /** Returns the ids of the requests in flight, sorted. */
  List<String> inFlight();
}
