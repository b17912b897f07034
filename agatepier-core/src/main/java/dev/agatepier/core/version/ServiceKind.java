package dev.agatepier.core.version;

/** What stands behind a service, and with it the unit of its cost. */
public enum ServiceKind {
  /** A model engine; cost is counted in tokens. */
  MODEL,
  /** A plain service; cost is counted in milliseconds of a slot. */
  PLAIN
}
