package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.StreamMessage.OriginReply;
import dev.agatepier.core.connection.StreamMessage.OriginRequest;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsReply;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsRequest;
import dev.agatepier.core.process.OriginSource;
import dev.agatepier.core.process.ResumptionEvidence;
import dev.agatepier.core.process.RouterEffect.ReadUpstreams;
import dev.agatepier.core.process.RouterEffect.ResumptionDecided;
import dev.agatepier.core.process.RouterEffect.SendToOriginCache;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.process.internal.Admission.Refusal;
import dev.agatepier.core.process.internal.HeldResumption.Stage;
import dev.agatepier.core.request.Reason;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.StreamKey;
import dev.agatepier.core.version.Upstream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Holds calls that resume a stream until it is found which software version began it, and admits
 * them for that version or rejects them.
 */
final class OriginSearch {

  /** Time for which replies of other routers are awaited: several round trips between regions. */
  private static final long REPLY_TIMEOUT_NANOS = 300_000_000;

  /** Time after which origin caches that have not replied are asked again: datagrams get lost. */
  private static final long REPEAT_NANOS = 100_000_000;

  /** Maximum number of origin caches that are asked for one call. */
  private static final int MAXIMUM_CACHES = 1_024;

  /** Number of routers that are asked to read the platform, as one may not reach it either. */
  private static final int PLATFORM_READERS = 3;

  private final RouterState state;
  private final Admission admission;
  private final OriginRecords records;
  private final RecentSoftwareVersions recentVersions;
  private final StreamLifetimes lifetimes;

  /** Held calls by the number of the request to other routers, in the order of their arrival. */
  private final Map<Long, HeldResumption> held = new LinkedHashMap<>();

  private long lastNumber = Long.MIN_VALUE;

  /** Whether the link to any router was lost, and when the last one was. */
  private boolean routerLost;

  private long routerLostNanos;

  OriginSearch(
      RouterState state,
      Admission admission,
      OriginRecords records,
      RecentSoftwareVersions recentVersions,
      StreamLifetimes lifetimes) {
    this.state = state;
    this.admission = admission;
    this.records = records;
    this.recentVersions = recentVersions;
    this.lifetimes = lifetimes;
  }

  /** Returns whether no call is held. */
  boolean isEmpty() {
    return held.isEmpty();
  }

  /** Admits a call if the origin of its stream is recorded here, or starts to search for it. */
  void start(CallArrived call, StreamKey key, long nowNanos) {
    List<String> asked = OriginRouters.select(key, state.routers.values(), OriginRouters.ASKED);
    HeldResumption resumption =
        new HeldResumption(
            call, key, nextNumber(nowNanos), nowNanos, replyTimeout(call, nowNanos), asked);
    Optional<String> known = records.find(key);
    if (known.isPresent()) {
      resume(resumption, OriginSource.LOCAL, known.get(), nowNanos);
    } else if (asked.isEmpty()) {
      decide(resumption, nowNanos);
    } else {
      held.put(resumption.number, resumption);
      OriginRequest request = originRequest(resumption);
      asked.forEach(router -> state.outbox.send(router, request));
    }
  }

  /** Handles the reply of an origin cache. */
  void onCacheReply(String address, OriginReply reply, long nowNanos) {
    HeldResumption resumption = held.get(reply.number());
    if (resumption == null || !resumption.receive(Stage.CACHES, address)) {
      return;
    }
    if (reply.known()) {
      resume(resumption, OriginSource.CACHE, reply.softwareVersion(), nowNanos);
    } else if (resumption.awaitedInStage.isEmpty()) {
      decide(resumption, nowNanos);
    }
  }

  /** Handles what a router knows of the origin. */
  void onReply(String router, OriginReply reply, long nowNanos) {
    HeldResumption resumption = held.get(reply.number());
    if (resumption == null || !resumption.awaited.contains(router)) {
      return;
    }
    if (reply.known()) {
      resume(resumption, OriginSource.PEER, reply.softwareVersion(), nowNanos);
    } else {
      resumption.addReply(router, reply);
      decideIfAllReplied(resumption, nowNanos);
    }
  }

  /** Handles what a router has read from the platform. */
  void onReply(String router, SoftwareVersionsReply reply, long nowNanos) {
    HeldResumption resumption = held.get(reply.number());
    if (resumption == null || !resumption.receive(Stage.PLATFORM_BY_ROUTERS, router)) {
      return;
    }
    resumption.addReply(reply);
    if (reply.complete()) {
      decide(resumption, nowNanos);
    } else {
      decideIfAllReplied(resumption, nowNanos);
    }
  }

  /** Asks a router that has connected for the origins of the calls that are held. */
  void onPeerConnected(PeerIdentity peer) {
    if (peer.role() != Role.ROUTER) {
      return;
    }
    for (HeldResumption resumption : held.values()) {
      if (resumption.awaited.add(peer.instance())) {
        state.outbox.send(peer.instance(), originRequest(resumption));
      }
    }
  }

  /** Stops waiting for the replies of a router whose link was lost. */
  void onPeerDisconnected(PeerIdentity peer, long nowNanos) {
    routerLost = true;
    routerLostNanos = nowNanos;
    for (HeldResumption resumption : List.copyOf(held.values())) {
      boolean awaited = resumption.awaited.remove(peer.instance());
      if (awaited && resumption.stage == Stage.ROUTERS
          || resumption.receive(Stage.PLATFORM_BY_ROUTERS, peer.instance())) {
        decideIfAllReplied(resumption, nowNanos);
      }
    }
  }

  /** Ends a held call whose caller has disconnected; returns whether there was one. */
  boolean onCallerDisconnected(RequestId request) {
    Optional<HeldResumption> found =
        held.values().stream()
            .filter(resumption -> resumption.call.request().equals(request))
            .findFirst();
    found.ifPresent(
        resumption -> {
          held.remove(resumption.number);
          admission.refuse(resumption.call, new Refusal(Reason.CALLER_GONE, 0));
        });
    return found.isPresent();
  }

  /** Decides on the calls that wait for a read of the platform. */
  void onUpstreamsRead(List<Upstream> upstreams, long nowNanos) {
    for (HeldResumption resumption : List.copyOf(held.values())) {
      boolean waits =
          resumption.stage == Stage.PLATFORM
              || resumption.stage == Stage.PLATFORM_BY_ROUTERS && isInTouch(resumption, nowNanos);
      if (waits && recentVersions.wereUpstreamsReadAfter(resumption.heldSinceNanos)) {
        resumption.setReadUpstreams(upstreams);
        decide(resumption, nowNanos);
      }
    }
  }

  /**
   * Decides on the calls for which the platform could not be read. Those that arrived after the
   * read had started have requested the next one.
   */
  void onUpstreamsReadFailed(long startedNanos, long nowNanos) {
    for (HeldResumption resumption : List.copyOf(held.values())) {
      if (resumption.stage == Stage.PLATFORM && startedNanos - resumption.heldSinceNanos >= 0) {
        decide(resumption, nowNanos);
      }
    }
  }

  /**
   * Decides on the calls that have been held for the longest time allowed, and asks origin caches
   * again that have not replied.
   */
  void runDueTimers(long nowNanos) {
    if (held.isEmpty()) {
      return;
    }
    held.values().stream()
        .filter(resumption -> resumption.timeoutNanos <= nowNanos)
        .toList()
        .forEach(resumption -> decide(resumption, nowNanos));
    held.values().stream()
        .filter(resumption -> resumption.stage == Stage.CACHES)
        .filter(resumption -> resumption.repeatNanos <= nowNanos)
        .forEach(resumption -> sendToAwaitedCaches(resumption, nowNanos));
  }

  private void decideIfAllReplied(HeldResumption resumption, long nowNanos) {
    boolean allReplied =
        switch (resumption.stage) {
          case ROUTERS -> resumption.awaited.isEmpty();
          // The read of the platform is still awaited.
          case PLATFORM -> false;
          case PLATFORM_BY_ROUTERS, CACHES -> resumption.awaitedInStage.isEmpty();
        };
    if (allReplied) {
      decide(resumption, nowNanos);
    }
  }

  /**
   * Decides on a call whose origin no router knows: the stream is resumed if its service has had
   * only one software version from the time at which the stream can have begun until the call
   * arrived. Lists and replies may be older than the stream, so that only a read of the platform
   * that started after the call arrived shows this. The read does not name a version that has left
   * again, nor one that runs behind an old entry, so that another router must have replied, too.
   * What is needed for the decision and missing is asked for; without it the call is rejected.
   */
  private void decide(HeldResumption resumption, long nowNanos) {
    SortedSet<String> versions = possibleVersions(resumption, nowNanos);
    boolean onlyVersion = versions.size() == 1;
    boolean unknownVersion = onlyVersion && versions.first().isEmpty();
    boolean onlyVersionSoFar = onlyVersion && isComplete(resumption, nowNanos);
    boolean shown = wasPlatformReadSince(resumption) && isInTouch(resumption, nowNanos);
    if (unknownVersion || onlyVersionSoFar && shown) {
      resume(resumption, OriginSource.ONLY_VERSION, versions.first(), nowNanos);
    } else if (nowNanos - resumption.call.deadlineNanos() >= 0
        || !(onlyVersionSoFar && awaitPlatform(resumption, nowNanos))
            && !askCaches(resumption, nowNanos)) {
      reject(resumption, OriginSource.UNKNOWN, nowNanos);
    }
  }

  /**
   * Returns whether another router has replied, or there has been none in the stream's lifetime.
   */
  private boolean isInTouch(HeldResumption resumption, long nowNanos) {
    boolean lostRecently =
        routerLost && nowNanos - routerLostNanos <= lifetimes.nanos(resumption.call);
    return resumption.routersReplied > 0
        || resumption.readByRouter
        || resumption.routersAsked == 0 && !lostRecently;
  }

  private boolean wasPlatformReadSince(HeldResumption resumption) {
    return resumption.readByRouter
        || recentVersions.wereUpstreamsReadAfter(resumption.heldSinceNanos);
  }

  /**
   * Reads the platform; if that is not enough, asks other routers to read it, once.
   *
   * @return whether a read is awaited
   */
  private boolean awaitPlatform(HeldResumption resumption, long nowNanos) {
    CallArrived call = resumption.call;
    if (resumption.stage == Stage.ROUTERS) {
      resumption.await(Stage.PLATFORM, List.of(), replyTimeout(call, nowNanos));
      state.outbox.add(new ReadUpstreams());
    } else if (resumption.stage == Stage.PLATFORM && !state.routers.isEmpty()) {
      List<String> asked =
          OriginRouters.select(resumption.key, state.routers.values(), PLATFORM_READERS);
      resumption.await(Stage.PLATFORM_BY_ROUTERS, asked, replyTimeout(call, nowNanos));
      SoftwareVersionsRequest request =
          new SoftwareVersionsRequest(resumption.number, call.service(), lifetimes.millis(call));
      asked.forEach(router -> state.outbox.send(router, request));
    } else {
      return false;
    }
    held.put(resumption.number, resumption);
    return true;
  }

  /** Returns the software versions that may have begun the stream, as far as they are known. */
  private SortedSet<String> possibleVersions(HeldResumption resumption, long nowNanos) {
    SortedSet<String> versions = new TreeSet<>(resumption.recentVersions);
    versions.addAll(
        recentVersions.within(
            resumption.call.service(), lifetimes.nanos(resumption.call), nowNanos));
    return versions;
  }

  /** Returns whether those are all, by this router's knowledge or by that of one that replied. */
  private boolean isComplete(HeldResumption resumption, long nowNanos) {
    return resumption.complete
        || recentVersions.isComplete(lifetimes.nanos(resumption.call), nowNanos);
  }

  /**
   * Asks the origin caches beside all upstreams of the service, once.
   *
   * @return whether replies are awaited
   */
  private boolean askCaches(HeldResumption resumption, long nowNanos) {
    CallArrived call = resumption.call;
    if (state.policy.originCachePort() == 0
        || resumption.stage == Stage.CACHES
        || call.labels().resumed().isEmpty()) {
      return false;
    }
    List<String> addresses =
        Stream.concat(state.upstreams.addresses(call.service()), resumption.readAddresses.stream())
            .distinct()
            .limit(MAXIMUM_CACHES)
            .toList();
    if (addresses.isEmpty()) {
      return false;
    }
    resumption.await(Stage.CACHES, addresses, replyTimeout(call, nowNanos));
    held.put(resumption.number, resumption);
    sendToAwaitedCaches(resumption, nowNanos);
    return true;
  }

  private void sendToAwaitedCaches(HeldResumption resumption, long nowNanos) {
    resumption.repeatNanos = nowNanos + REPEAT_NANOS;
    OriginRequest request = originRequest(resumption);
    resumption.awaitedInStage.forEach(
        address -> state.outbox.add(new SendToOriginCache(address, request)));
  }

  private OriginRequest originRequest(HeldResumption resumption) {
    CallArrived call = resumption.call;
    return new OriginRequest(
        resumption.number, resumption.key, call.service(), lifetimes.millis(call));
  }

  /** Returns a number greater than those of earlier processes, whose replies may still arrive. */
  private long nextNumber(long nowNanos) {
    lastNumber = Math.max(lastNumber + 1, nowNanos);
    return lastNumber;
  }

  private static long replyTimeout(CallArrived call, long nowNanos) {
    return Math.min(call.deadlineNanos(), nowNanos + REPLY_TIMEOUT_NANOS);
  }

  private void reject(HeldResumption resumption, OriginSource source, long nowNanos) {
    held.remove(resumption.number);
    report(resumption, source, "", nowNanos);
    admission.refuse(resumption.call, new Refusal(Reason.STREAM_ORIGIN_UNKNOWN, 0));
  }

  private void resume(
      HeldResumption resumption, OriginSource source, String softwareVersion, long nowNanos) {
    CallArrived call = resumption.call;
    if (softwareVersion.equals(RoutedRequest.UNCERTAIN_VERSION)) {
      reject(resumption, OriginSource.UNCERTAIN, nowNanos);
      return;
    }
    held.remove(resumption.number);
    if (call.labels().resumed().isPresent() && !softwareVersion.isEmpty()) {
      records.record(resumption.key, softwareVersion, nowNanos);
    }
    report(resumption, source, softwareVersion, nowNanos);
    admission.admit(call, softwareVersion, nowNanos);
  }

  private void report(
      HeldResumption resumption, OriginSource source, String softwareVersion, long nowNanos) {
    state.outbox.add(
        new ResumptionDecided(
            resumption.call.request(),
            resumption.call.labels().resumed().orElse(""),
            source,
            softwareVersion,
            nowNanos - resumption.heldSinceNanos,
            evidence(resumption, nowNanos)));
  }

  private ResumptionEvidence evidence(HeldResumption resumption, long nowNanos) {
    return new ResumptionEvidence(
        resumption.routersAsked,
        resumption.routersReplied,
        possibleVersions(resumption, nowNanos).size(),
        isComplete(resumption, nowNanos),
        recentVersions.listAgeNanos(nowNanos));
  }
}
