package dev.agatepier.core.version;

/** Type of a service's upstreams, which determines the unit of cost. */
public enum ServiceKind {
  /** A model engine; cost is measured in tokens. */
  MODEL,
  /** Any other service; cost is measured in milliseconds for which a slot was held. */
  PLAIN
}
