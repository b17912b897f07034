package dev.agatepier.wire.process;

import dev.agatepier.core.process.ManagedService;
import java.util.List;

/** A whole process of the fleet. */
public interface FleetService extends ManagedService {

  /** Returns the names of the requests or attempts under way, which an end now would cut. */
  List<String> inFlight();
}
