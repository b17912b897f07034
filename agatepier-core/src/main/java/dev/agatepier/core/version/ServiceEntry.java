package dev.agatepier.core.version;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * One row of the services file.
 *
 * @param name name of the service
 * @param kind what stands behind it
 * @param idempotentCalls calls that may be repeated, each a method and a path prefix
 * @param deadlineMillis longest time a request may take, waiting included, in milliseconds
 * @param retryShare retries allowed as a share of first attempts, from 0 to 1
 * @param keeping who hands out the slots of its upstreams
 * @param engine what is published about its model engines
 */
public record ServiceEntry(
    String name,
    ServiceKind kind,
    List<CallPattern> idempotentCalls,
    long deadlineMillis,
    double retryShare,
    SlotAllocationMode keeping,
    Optional<EngineProfile> engine) {

  /** Creates an entry whose slots are kept by sidecars. */
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

  /** Checks the parts and copies the patterns. */
  public ServiceEntry {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(keeping, "keeping");
    Objects.requireNonNull(engine, "engine");
    idempotentCalls = List.copyOf(idempotentCalls);
    if (deadlineMillis < 1) {
      throw new IllegalArgumentException("deadline " + deadlineMillis + " ms is below 1 ms");
    }
    if (!(retryShare >= 0 && retryShare <= 1)) {
      throw new IllegalArgumentException("retry share " + retryShare + " is not from 0 to 1");
    }
  }

  /** Returns whether the published entry says that a call may be repeated. */
  public boolean idempotent(String method, String path) {
    return idempotentCalls.stream().anyMatch(pattern -> pattern.matches(method, path));
  }
}
