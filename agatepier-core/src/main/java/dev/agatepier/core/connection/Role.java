package dev.agatepier.core.connection;

/** What a process of the fleet does. */
public enum Role {
  /** Terminates callers' requests. */
  ROUTER,
  /** Stands beside one upstream and owns its slots. */
  SIDECAR
}
