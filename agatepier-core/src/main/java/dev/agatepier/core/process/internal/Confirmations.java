package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.VersionMessage.ConfirmationRequest;
import dev.agatepier.core.connection.VersionMessage.ConfirmationTransfer;
import dev.agatepier.core.version.ReadTimestamp;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Knows when the table in force was last confirmed to be the newest. Processes that do not read the
 * platform, or whose reads fail, ask peers. What a peer confirmed counts from before the question
 * was asked, less the age that the peer tells, so that a delay on the way only makes it older.
 */
public final class Confirmations {

  /** How long a peer may take before the next is asked, in milliseconds: far above a round trip. */
  private static final long ANSWER_MILLIS = 250;

  /** Divisor of the lease for the age at which peers are asked: half of it is left for answers. */
  private static final int ASK_AFTER_PART = 2;

  private final long leaseMillis;
  private final OutstandingRequest question =
      new OutstandingRequest(TimeUnit.MILLISECONDS.toNanos(ANSWER_MILLIS));
  private Optional<ReadTimestamp> confirmed = Optional.empty();
  private long awaitedVersion;
  private ReadTimestamp awaitedBegun = ReadTimestamp.UNTIMED;
  private long asked;
  private ReadTimestamp askedAt = ReadTimestamp.UNTIMED;
  private int nextPeer;

  /**
   * Creates the state of a process whose table nobody has confirmed.
   *
   * @param leaseMillis how long a confirmation holds, in milliseconds; 0 if none is needed
   */
  public Confirmations(long leaseMillis) {
    this.leaseMillis = leaseMillis;
  }

  /**
   * Takes what was the newest version at some time.
   *
   * @param version the version
   * @param inForce version that is in force here; a newer one is kept until it is in force
   * @param begun when the read was begun that told it
   * @return the time, if it confirms the version in force later than was known
   */
  public Optional<ReadTimestamp> recordNewest(long version, long inForce, ReadTimestamp begun) {
    if (version > inForce) {
      if (version > awaitedVersion || begun.laterThan(awaitedBegun)) {
        awaitedVersion = version;
        awaitedBegun = begun;
      }
      return Optional.empty();
    }
    boolean later = confirmed.isEmpty() || begun.laterThan(confirmed.get());
    if (version < inForce || version == 0 || !later) {
      return Optional.empty();
    }
    confirmed = Optional.of(begun);
    return confirmed;
  }

  /** Notes a version that is in force from now on; returns since when it is known as the newest. */
  public Optional<ReadTimestamp> onActivated(long version) {
    confirmed = Optional.empty();
    return awaitedVersion == version
        ? recordNewest(version, version, awaitedBegun)
        : Optional.empty();
  }

  /** Returns what to tell a peer that asked about the version in force. */
  public ConfirmationTransfer reply(ConfirmationRequest request, long inForce, ReadTimestamp now) {
    long age = ageMillis(now);
    return age < leaseMillis
        ? new ConfirmationTransfer(request.number(), inForce, age)
        : new ConfirmationTransfer(request.number(), 0, 0);
  }

  /** Returns the peer to ask now, if the confirmation grows old; each question asks one. */
  public Optional<String> peerToAsk(
      Supplier<List<String>> peersByRank, ReadTimestamp now, long nowNanos) {
    if (ageMillis(now) < leaseMillis / ASK_AFTER_PART || !question.trySend(nowNanos)) {
      return Optional.empty();
    }
    asked++;
    askedAt = now;
    List<String> peers = peersByRank.get();
    return peers.isEmpty()
        ? Optional.empty()
        : Optional.of(peers.get(Math.floorMod(nextPeer++, peers.size())));
  }

  /** Returns the question for the peer that was chosen last. */
  public ConfirmationRequest request() {
    return new ConfirmationRequest(asked);
  }

  /** Takes a peer's answer; returns the time if it confirms the version in force. */
  public Optional<ReadTimestamp> onReply(ConfirmationTransfer answer, long inForce) {
    if (answer.number() != asked || answer.ageMillis() < 0) {
      return Optional.empty();
    }
    question.complete();
    Optional<ReadTimestamp> better =
        recordNewest(answer.version(), inForce, askedAt.before(answer.ageMillis()));
    better.ifPresent(ignored -> nextPeer--);
    return better;
  }

  private long ageMillis(ReadTimestamp now) {
    return confirmed.map(mark -> mark.ageMillis(now)).orElse(Long.MAX_VALUE);
  }
}
