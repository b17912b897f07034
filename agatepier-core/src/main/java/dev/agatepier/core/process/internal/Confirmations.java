package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.VersionMessage.ConfirmationRequest;
import dev.agatepier.core.connection.VersionMessage.ConfirmationTransfer;
import dev.agatepier.core.version.ReadTimestamp;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Tracks when the active table was last confirmed to be the newest. Processes that do not read the
 * platform, or whose reads fail, ask peers. A peer's confirmation is dated to the time when the
 * request was sent, minus the age that the peer reports, so that network delay can only make it
 * older.
 */
public final class Confirmations {

  /** Timeout after which the next peer is asked, in milliseconds: far above a round-trip time. */
  private static final long REPLY_TIMEOUT_MILLIS = 250;

  /** Peers are asked at the age lease / divisor, which leaves half of the lease for replies. */
  private static final int REFRESH_LEASE_DIVISOR = 2;

  private final long leaseMillis;
  private final OutstandingRequest outstandingRequest =
      new OutstandingRequest(TimeUnit.MILLISECONDS.toNanos(REPLY_TIMEOUT_MILLIS));
  private Optional<ReadTimestamp> confirmed = Optional.empty();
  private long pendingVersion;
  private ReadTimestamp pendingReadAt = ReadTimestamp.UNTIMED;
  private long requestNumber;
  private ReadTimestamp requestedAt = ReadTimestamp.UNTIMED;
  private int nextPeer;

  /**
   * Creates a tracker without a confirmation.
   *
   * @param leaseMillis how long a confirmation is valid, in milliseconds; 0 if none is needed
   */
  public Confirmations(long leaseMillis) {
    this.leaseMillis = leaseMillis;
  }

  /**
   * Records which version was the newest at a given time.
   *
   * @param version the newest version; one above the active version is kept until it is activated
   * @param active version that is active in this process
   * @param readAt start of the read that reported the version
   * @return {@code readAt}, if it confirms the active version and is later than the last
   *     confirmation
   */
  public Optional<ReadTimestamp> recordNewest(long version, long active, ReadTimestamp readAt) {
    if (version > active) {
      if (version > pendingVersion || readAt.laterThan(pendingReadAt)) {
        pendingVersion = version;
        pendingReadAt = readAt;
      }
      return Optional.empty();
    }
    boolean later = confirmed.isEmpty() || readAt.laterThan(confirmed.get());
    if (version < active || version == 0 || !later) {
      return Optional.empty();
    }
    confirmed = Optional.of(readAt);
    return confirmed;
  }

  /** Records that a version was activated; returns when it was last known to be the newest. */
  public Optional<ReadTimestamp> onActivated(long version) {
    confirmed = Optional.empty();
    return pendingVersion == version
        ? recordNewest(version, version, pendingReadAt)
        : Optional.empty();
  }

  /** Returns the reply to a peer; version 0 if the confirmation here has expired or is missing. */
  public ConfirmationTransfer reply(ConfirmationRequest request, long active, ReadTimestamp now) {
    long age = ageMillis(now);
    return age < leaseMillis
        ? new ConfirmationTransfer(request.number(), active, age)
        : new ConfirmationTransfer(request.number(), 0, 0);
  }

  /**
   * Returns the peer to ask, if the confirmation is old enough and no request is outstanding; each
   * request goes to one peer.
   */
  public Optional<String> peerToAsk(
      Supplier<List<String>> peersByRank, ReadTimestamp now, long nowNanos) {
    if (ageMillis(now) < leaseMillis / REFRESH_LEASE_DIVISOR
        || !outstandingRequest.trySend(nowNanos)) {
      return Optional.empty();
    }
    requestNumber++;
    requestedAt = now;
    List<String> peers = peersByRank.get();
    return peers.isEmpty()
        ? Optional.empty()
        : Optional.of(peers.get(Math.floorMod(nextPeer++, peers.size())));
  }

  /** Returns the request for the peer that {@link #peerToAsk} returned last. */
  public ConfirmationRequest request() {
    return new ConfirmationRequest(requestNumber);
  }

  /**
   * Handles a peer's reply; replies to earlier requests are ignored. A peer that gave a newer
   * confirmation is asked again next time.
   *
   * @return the time of the confirmation, if it is later than the last one
   */
  public Optional<ReadTimestamp> onReply(ConfirmationTransfer reply, long active) {
    if (reply.number() != requestNumber || reply.ageMillis() < 0) {
      return Optional.empty();
    }
    outstandingRequest.complete();
    Optional<ReadTimestamp> newer =
        recordNewest(reply.version(), active, requestedAt.before(reply.ageMillis()));
    newer.ifPresent(ignored -> nextPeer--);
    return newer;
  }

  private long ageMillis(ReadTimestamp now) {
    return confirmed.map(time -> time.ageMillis(now)).orElse(Long.MAX_VALUE);
  }
}
