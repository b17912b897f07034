package dev.agatepier.core.process.internal;

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

  /** Returns the message with the list for a peer, if the list is newer than the peer's. */
  public Optional<InstancesTransfer> newerThan(long knownVersion) {
    return list.version() > knownVersion
        ? Optional.of(new InstancesTransfer(list.version(), list.instances(), list.upstreams()))
        : Optional.empty();
  }

  /** Returns the schedule for reads of the platform's list. */
  public ReadSchedule reads() {
    return reads;
  }

  /** Returns whether the platform's list may be read now. */
  public boolean due(double jitter, long nowNanos) {
    return reads.due(jitter, nowNanos);
  }

  /** Handles a list read from the platform; returns it if it is newer, else backs off. */
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

  /** Replaces the list if the offered one is newer, and then returns it. */
  public Optional<InstanceList> accept(InstanceList offered, long nowNanos) {
    listRequest.complete();
    if (offered.version() <= list.version()) {
      return Optional.empty();
    }
    if (list.version() == 0) {
      firstListNanos = nowNanos;
    }
    list = offered;
    return Optional.of(offered);
  }

  /**
   * Returns whether to request a peer's list: it is newer and no request is outstanding. If so,
   * records the request.
   */
  public boolean shouldRequest(long offeredVersion, long nowNanos) {
    return offeredVersion > list.version() && listRequest.trySend(nowNanos);
  }

  /** Returns whether links have had time to connect since the first list was received. */
  public boolean settled(long nowNanos) {
    return list.version() > 0 && nowNanos - firstListNanos >= settleNanos;
  }
}
