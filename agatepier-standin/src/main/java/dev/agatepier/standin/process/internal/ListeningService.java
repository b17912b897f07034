package dev.agatepier.standin.process.internal;

import dev.agatepier.core.process.ManagedService;

/** A service that listens on a TCP port. */
public interface ListeningService extends ManagedService {

  /** Returns the bound port; only defined after the start. */
  int port();
}
