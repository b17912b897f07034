package dev.agatepier.core.version;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * One row of the services file.
 *
 * @param name name of the service
 * @param kind type of its upstreams
 * @param idempotentCalls patterns of the calls that may be retried safely
 * @param deadlineMillis maximum duration of a request, including waiting, in milliseconds
 * @param retryShare retry budget as a fraction of first attempts, from 0 to 1
 * @param keeping which process allocates the slots of its upstreams
 * @param engine published properties of its model engines; empty for none
 * @param warmUp warm-up of its upstreams; empty if they need none
 */
public record ServiceEntry(
    String name,
    ServiceKind kind,
    List<CallPattern> idempotentCalls,
    long deadlineMillis,
    double retryShare,
    SlotAllocationMode keeping,
    Optional<EngineProfile> engine,
    Optional<WarmUp> warmUp) {

  /** Creates an entry whose upstreams need no warm-up. */
  public ServiceEntry(
      String name,
      ServiceKind kind,
      List<CallPattern> idempotentCalls,
      long deadlineMillis,
      double retryShare,
      SlotAllocationMode keeping,
      Optional<EngineProfile> engine) {
    this(
        name, kind, idempotentCalls, deadlineMillis, retryShare, keeping, engine, Optional.empty());
  }

  /** Creates an entry without an engine profile, whose slots are allocated by sidecars. */
  public ServiceEntry(
      String name,
      ServiceKind kind,
      List<CallPattern> idempotentCalls,
      long deadlineMillis,
      double retryShare) {
    this(
        name,
        kind,
        idempotentCalls,
        deadlineMillis,
        retryShare,
        SlotAllocationMode.SIDECAR,
        Optional.empty());
  }

  /** Rejects null parts and values out of range; copies the patterns. */
  public ServiceEntry {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(keeping, "keeping");
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(warmUp, "warmUp");
    idempotentCalls = List.copyOf(idempotentCalls);
    if (deadlineMillis < 1) {
      throw new IllegalArgumentException("deadlineMillis " + deadlineMillis + " is below 1");
    }
    if (!(retryShare >= 0 && retryShare <= 1)) {
      throw new IllegalArgumentException("retryShare " + retryShare + " is not between 0 and 1");
    }
  }

  /** Returns whether the entry declares a call idempotent. */
  public boolean idempotent(String method, String path) {
    return idempotentCalls.stream().anyMatch(pattern -> pattern.matches(method, path));
  }
}
