package dev.agatepier.wire.process;

import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.version.DataCentreRegions;
import java.util.Optional;

/**
 * Settings of a router.
 *
 * @param common settings that routers and sidecars have in common
 * @param callers endpoint that callers connect to
 * @param policy policy of its decision
 * @param slots policy of its slot allocator
 * @param readiness endpoint at which a load balancer checks readiness; empty for none
 * @param dataCentres the regions of the data centres
 */
public record RouterSettings(
    CommonSettings common,
    Endpoint callers,
    RouterPolicy policy,
    SlotAllocatorPolicy slots,
    Optional<Endpoint> readiness,
    DataCentreRegions dataCentres) {

  /** Creates settings that know the regions of no data centre. */
  public RouterSettings(
      CommonSettings common,
      Endpoint callers,
      RouterPolicy policy,
      SlotAllocatorPolicy slots,
      Optional<Endpoint> readiness) {
    this(common, callers, policy, slots, readiness, DataCentreRegions.NONE);
  }
}
