package dev.agatepier.standin.process.internal;

import dev.agatepier.core.process.ManagedService;

/** A service that listens on a port of its own. */
public interface ListeningService extends ManagedService {

  /** Returns the port that was bound; defined after the start. */
  int port();
}
