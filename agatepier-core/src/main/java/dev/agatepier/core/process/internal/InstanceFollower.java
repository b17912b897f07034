package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.LinkMessage.Heartbeat;
import dev.agatepier.core.connection.VersionMessage.InstancesRequest;
import dev.agatepier.core.connection.VersionMessage.InstancesTransfer;
import dev.agatepier.core.process.VersionPolicy;
import dev.agatepier.core.version.InstanceList;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Follows the versions of the instance list, read from the platform or received from peers. */
public final class InstanceFollower {

  private final ReadSchedule reads;
  private final OutstandingRequest listRequest;
  private final long settleNanos;
  private InstanceList list = InstanceList.NONE;
  private long firstListNanos;

  /** Creates a follower with an empty list of version 0. */
  public InstanceFollower(VersionPolicy policy) {
    reads = new ReadSchedule(policy);
    listRequest = new OutstandingRequest(TimeUnit.MILLISECONDS.toNanos(policy.transferMillis()));
    settleNanos = TimeUnit.MILLISECONDS.toNanos(policy.coldStartMillis());
  }

  /** Returns the newest known list. */
  public InstanceList list() {
    return list;
  }

  /** Returns the message with the list for a peer, if any part of it is newer than the peer's. */
  public Optional<InstancesTransfer> newerThan(InstancesRequest known) {
    return isNewer(
            list.version(),
            list.evacuatedRevision(),
            known.knownVersion(),
            known.knownEvacuatedRevision())
        ? Optional.of(new InstancesTransfer(list))
        : Optional.empty();
  }

  /** Returns the request for a list that is newer than the known one in any part. */
  public InstancesRequest request() {
    return new InstancesRequest(list.version(), list.evacuatedRevision());
  }

  /** Returns the schedule for reads of the platform's list. */
  public ReadSchedule reads() {
    return reads;
  }

  /** Returns whether the platform's list may be read now. */
  public boolean due(double jitter, long nowNanos) {
    return reads.due(jitter, nowNanos);
  }

  /** Handles a list read from the platform; returns it if it is newer, and backs off otherwise. */
  public Optional<InstanceList> onRead(InstanceList read, double jitter, long nowNanos) {
    Optional<InstanceList> newer = accept(read, nowNanos);
    if (newer.isPresent()) {
      reads.recordSuccess(nowNanos);
      reads.resetBackoff();
    } else {
      reads.recordFailure(jitter, nowNanos);
    }
    return newer;
  }

  /**
   * Replaces the list if the offered one is newer, and then returns it. The evacuated data centres
   * have their own revision: of two lists, the one with the newer upstreams may come from a reader
   * that does not know the latest evacuation yet.
   */
  public Optional<InstanceList> accept(InstanceList offered, long nowNanos) {
    listRequest.complete();
    if (!isNewer(
        offered.version(), offered.evacuatedRevision(), list.version(), list.evacuatedRevision())) {
      return Optional.empty();
    }
    if (list.version() == 0) {
      firstListNanos = nowNanos;
    }
    list =
        offered.version() > list.version()
            ? offered.withNewerEvacuations(list)
            : list.withNewerEvacuations(offered);
    return Optional.of(list);
  }

  /**
   * Returns whether to request a peer's list: it is newer and no request is outstanding. If so,
   * records the request.
   */
  public boolean shouldRequest(Heartbeat heartbeat, long nowNanos) {
    return isNewer(
            heartbeat.instancesVersion(),
            heartbeat.evacuatedRevision(),
            list.version(),
            list.evacuatedRevision())
        && listRequest.trySend(nowNanos);
  }

  /** Returns whether links have had time to connect since the first list was received. */
  public boolean settled(long nowNanos) {
    return list.version() > 0 && nowNanos - firstListNanos >= settleNanos;
  }

  private static boolean isNewer(
      long version, long evacuatedRevision, long thanVersion, long thanEvacuatedRevision) {
    return version > thanVersion || evacuatedRevision > thanEvacuatedRevision;
  }
}
