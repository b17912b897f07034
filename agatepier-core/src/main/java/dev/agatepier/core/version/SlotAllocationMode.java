package dev.agatepier.core.version;

/** Who hands out the slots of a service's upstreams. */
public enum SlotAllocationMode {
  /** The sidecar beside each upstream, which also runs the attempts. */
  SIDECAR,
  /** A router of the upstream's data centre; every router runs its own attempts. */
  ROUTER
}
