package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.VersionMessage.InstancesTransfer;
import dev.agatepier.core.process.VersionPolicy;
import dev.agatepier.core.version.InstanceList;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Keeps the newest instance list, from the platform or from peers. */
public final class InstanceFollower {

  private final ReadSchedule reads;
  private final OutstandingRequest question;
  private final long settleNanos;
  private InstanceList list = InstanceList.NONE;
  private long firstListNanos;

  /** Creates the follower of a process that has no list. */
  public InstanceFollower(VersionPolicy policy) {
    reads = new ReadSchedule(policy);
    question = new OutstandingRequest(TimeUnit.MILLISECONDS.toNanos(policy.transferMillis()));
    settleNanos = TimeUnit.MILLISECONDS.toNanos(policy.coldStartMillis());
  }

  /** Returns the newest list. */
  public InstanceList list() {
    return list;
  }

  /** Returns the list for a peer, if it is newer than the peer's. */
  public Optional<InstancesTransfer> newerThan(long knownVersion) {
    return list.version() > knownVersion
        ? Optional.of(new InstancesTransfer(list.version(), list.instances(), list.upstreams()))
        : Optional.empty();
  }

  /** Returns when the platform's list may be read. */
  public ReadSchedule reads() {
    return reads;
  }

  /** Returns whether the platform's list may be read now. */
  public boolean due(double jitter, long nowNanos) {
    return reads.due(jitter, nowNanos);
  }

  /** Takes the platform's list; returns it if it is newer. */
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

  /** Takes a list; returns it if it is newer. */
  public Optional<InstanceList> accept(InstanceList offered, long nowNanos) {
    question.complete();
    if (offered.version() <= list.version()) {
      return Optional.empty();
    }
    if (list.version() == 0) {
      firstListNanos = nowNanos;
    }
    list = offered;
    return Optional.of(offered);
  }

  /** Returns whether a peer's list is to be asked for, and notes the question. */
  public boolean shouldRequest(long offeredVersion, long nowNanos) {
    return offeredVersion > list.version() && question.trySend(nowNanos);
  }

  /** Returns whether links had time to come up since the first list. */
  public boolean settled(long nowNanos) {
    return list.version() > 0 && nowNanos - firstListNanos >= settleNanos;
  }
}
