package dev.agatepier.core.connection;

import java.util.Locale;

/** Role of a process of the fleet. */
public enum Role {
  /** Accepts the requests of callers. */
  ROUTER,
  /** Runs next to one upstream and manages its slots. */
  SIDECAR;

  /** Returns the role in lower case, as it appears in logs and replies. */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
