package dev.agatepier.core.process.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Grants that no router has answered yet, oldest first. */
public final class OutstandingGrants {

  /**
   * One slot reserved for one request of a workspace.
   *
   * @param number number of the grant within the incarnation
   * @param router router that holds it
   * @param workspace workspace whose turn it is
   * @param estimate cost charged for it, in cost units
   * @param issuedNanos when it was issued
   */
  public record IssuedGrant(
      long number, String router, String workspace, double estimate, long issuedNanos) {}

  private final Map<Long, IssuedGrant> open = new LinkedHashMap<>();
  private long lastNumber;

  /** Issues a grant. */
  public IssuedGrant issue(String router, String workspace, double estimate, long nowNanos) {
    IssuedGrant grant = new IssuedGrant(++lastNumber, router, workspace, estimate, nowNanos);
    open.put(grant.number(), grant);
    return grant;
  }

  /** Takes out a grant that its router answers; empty for one that is unknown or taken back. */
  public Optional<IssuedGrant> take(long number, String router) {
    IssuedGrant grant = open.get(number);
    if (grant == null || !grant.router().equals(router)) {
      return Optional.empty();
    }
    return Optional.of(open.remove(number));
  }

  /** Takes back the grants issued at or before a time. */
  public List<IssuedGrant> removeIssuedUntil(long nanos) {
    List<IssuedGrant> taken =
        open.values().stream().takeWhile(grant -> grant.issuedNanos() - nanos <= 0).toList();
    taken.forEach(grant -> open.remove(grant.number()));
    return taken;
  }

  /** Takes back the grants of a router. */
  public List<IssuedGrant> removeOfRouter(String router) {
    List<IssuedGrant> taken = new ArrayList<>(open.values());
    taken.removeIf(grant -> !grant.router().equals(router));
    taken.forEach(grant -> open.remove(grant.number()));
    return taken;
  }

  /** Returns the number of grants not yet answered. */
  public int size() {
    return open.size();
  }
}
