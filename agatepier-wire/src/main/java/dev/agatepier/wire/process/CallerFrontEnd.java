package dev.agatepier.wire.process;

import dev.agatepier.core.process.ManagedService;
import dev.agatepier.core.process.RouterEffect;
import java.util.List;

/** The callers' side of a router. */
public interface CallerFrontEnd extends ManagedService {

  /** Carries out an effect that concerns a caller; others are ignored. */
  void perform(RouterEffect effect);

  /** From now on each connection ends with its next answer, though new ones are accepted. */
  void closeAfterResponses();

  /** Returns the names of the requests under way, sorted. */
  List<String> inFlight();
}
