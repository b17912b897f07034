package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.StreamMessage.OriginReply;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsReply;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.request.StreamKey;
import dev.agatepier.core.version.Upstream;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** A call that resumes a stream, held until it is known which software version began it. */
final class HeldResumption {

  /** What the call waits for, in this order; stages may be skipped. */
  enum Stage {
    /** Replies of other routers that may know the origin. */
    ROUTERS,
    /** A read of the platform that shows whether there is another software version by now. */
    PLATFORM,
    /** The same read by other routers, as this one cannot read the platform. */
    PLATFORM_BY_ROUTERS,
    /** Replies of the origin caches beside the upstreams. */
    CACHES
  }

  final CallArrived call;
  final StreamKey key;
  final long number;
  final long heldSinceNanos;

  Stage stage = Stage.ROUTERS;

  /** Time at which the stage ends. */
  long timeoutNanos;

  /** Routers that have not replied yet whether they know the origin. */
  final Set<String> awaited;

  final int routersAsked;
  int routersReplied;

  /** Routers or addresses of origin caches that have not replied yet in the current stage. */
  final Set<String> awaitedInStage = new HashSet<>();

  /** Time at which origin caches are asked again. */
  long repeatNanos;

  /** Software versions that the service had in the lifetime of a stream, as the replies say. */
  final Set<String> recentVersions = new TreeSet<>();

  /** Whether a reply says that it has all those versions. */
  boolean complete;

  /** Whether another router has read the platform since the call arrived. */
  boolean readByRouter;

  /** Addresses of the service's upstreams that were read from the platform since then. */
  List<String> readAddresses = List.of();

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

  /** Begins to wait for something else, and for whose replies. */
  void await(Stage next, Collection<String> repliers, long untilNanos) {
    stage = next;
    awaitedInStage.clear();
    awaitedInStage.addAll(repliers);
    timeoutNanos = untilNanos;
  }

  /** Sets the upstreams that were read from the platform since the call arrived. */
  void setReadUpstreams(Collection<Upstream> upstreams) {
    readAddresses =
        upstreams.stream()
            .filter(upstream -> upstream.service().equals(call.service()))
            .map(Upstream::address)
            .toList();
  }

  /** Returns whether the reply that was received now is awaited in the stage. */
  boolean receive(Stage awaitedIn, String sender) {
    return stage == awaitedIn && awaitedInStage.remove(sender);
  }

  /** Adds what a router knows that does not know the stream itself. */
  void addReply(String router, OriginReply reply) {
    awaited.remove(router);
    routersReplied++;
    recentVersions.addAll(reply.recentVersions());
    complete |= reply.complete();
  }

  /** Adds what a router has read from the platform since the call arrived. */
  void addReply(SoftwareVersionsReply reply) {
    recentVersions.addAll(reply.recentVersions());
    complete |= reply.complete();
    readByRouter |= reply.complete();
  }
}
