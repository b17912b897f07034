package dev.agatepier.core.version;

/** Which process allocates the slots of a service's upstreams. */
public enum SlotAllocationMode {
  /** The sidecar of each upstream, which also runs the attempts. */
  SIDECAR,
  /** One router in the upstream's data centre; each router runs its own attempts. */
  ROUTER
}
