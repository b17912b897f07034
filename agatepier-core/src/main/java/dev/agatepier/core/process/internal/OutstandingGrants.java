package dev.agatepier.core.process.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Grants that await the reply of their router, oldest first. */
public final class OutstandingGrants {

  /**
   * A slot reserved for one request of a workspace.
   *
   * @param number sequence number within the sidecar's incarnation
   * @param router router that the grant was sent to
   * @param workspace workspace that the slot is for
   * @param estimate cost charged in advance, in cost units
   * @param issuedNanos time of issue
   */
  public record IssuedGrant(
      long number, String router, String workspace, double estimate, long issuedNanos) {}

  private final Map<Long, IssuedGrant> outstanding = new LinkedHashMap<>();
  private long lastNumber;

  /** Records a grant under the next number and returns it. */
  public IssuedGrant issue(String router, String workspace, double estimate, long nowNanos) {
    IssuedGrant grant = new IssuedGrant(++lastNumber, router, workspace, estimate, nowNanos);
    outstanding.put(grant.number(), grant);
    return grant;
  }

  /** Removes the grant a router replies to; empty if it is unknown, revoked or another router's. */
  public Optional<IssuedGrant> take(long number, String router) {
    IssuedGrant grant = outstanding.get(number);
    if (grant == null || !grant.router().equals(router)) {
      return Optional.empty();
    }
    return Optional.of(outstanding.remove(number));
  }

  /** Removes and returns the grants issued at or before the given time. */
  public List<IssuedGrant> removeIssuedUntil(long nanos) {
    List<IssuedGrant> removed =
        outstanding.values().stream().takeWhile(grant -> grant.issuedNanos() - nanos <= 0).toList();
    removed.forEach(grant -> outstanding.remove(grant.number()));
    return removed;
  }

  /** Removes and returns the grants of a router. */
  public List<IssuedGrant> removeOfRouter(String router) {
    List<IssuedGrant> removed = new ArrayList<>(outstanding.values());
    removed.removeIf(grant -> !grant.router().equals(router));
    removed.forEach(grant -> outstanding.remove(grant.number()));
    return removed;
  }

  /** Returns the number of grants that await a reply. */
  public int size() {
    return outstanding.size();
  }
}
