package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.StreamMessage.OriginReply;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.request.StreamKey;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;

/** A call that resumes a stream, held while other routers are asked which version began it. */
final class HeldResumption {

  final CallArrived call;
  final StreamKey key;
  final long number;
  final long heldSinceNanos;

  /** Time until which replies are awaited. */
  long timeoutNanos;

  /** Routers that have not replied yet. */
  final Set<String> awaited;

  final int routersAsked;
  int routersReplied;

  /** Addresses of the origin caches that have not replied yet; null before they are asked. */
  Set<String> awaitedCaches;

  /** Time at which those are asked again. */
  long repeatNanos;

  /** Software versions that the service had in the lifetime of a stream, as the replies say. */
  final Set<String> recentVersions = new TreeSet<>();

  /** Whether a reply says that it has all those versions. */
  boolean complete;

  HeldResumption(
      CallArrived call,
      StreamKey key,
      long number,
      long heldSinceNanos,
      long timeoutNanos,
      Collection<String> asked) {
    this.call = call;
    this.key = key;
    this.number = number;
    this.heldSinceNanos = heldSinceNanos;
    this.timeoutNanos = timeoutNanos;
    awaited = new HashSet<>(asked);
    routersAsked = asked.size();
  }

  /** Records that origin caches were asked, and until when their replies are awaited. */
  void awaitCaches(Collection<String> addresses, long untilNanos) {
    awaitedCaches = new HashSet<>(addresses);
    timeoutNanos = untilNanos;
  }

  /** Adds what a router knows that does not know the stream itself. */
  void addReply(String router, OriginReply reply) {
    awaited.remove(router);
    routersReplied++;
    recentVersions.addAll(reply.recentVersions());
    complete |= reply.complete();
  }
}
