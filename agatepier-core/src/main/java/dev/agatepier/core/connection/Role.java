package dev.agatepier.core.connection;

import java.util.Locale;

/** What a process of the fleet does. */
public enum Role {
  /** Terminates callers' requests. */
  ROUTER,
  /** Stands beside one upstream and owns its slots. */
  SIDECAR;

  /** Returns the role in lower case, as logs and replies name it. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
