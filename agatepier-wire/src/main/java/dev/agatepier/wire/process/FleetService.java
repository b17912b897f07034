package dev.agatepier.wire.process;

import dev.agatepier.core.process.ManagedService;
import java.util.List;

/** Top-level service of a fleet process, a router or a sidecar. */
public interface FleetService extends ManagedService {

  /** Returns the ids of the requests or attempts in flight, which an immediate exit would abort. */
  List<String> inFlight();
}
