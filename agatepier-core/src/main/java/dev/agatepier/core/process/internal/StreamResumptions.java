package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.PeerIdentity;
import dev.agatepier.core.connection.StreamMessage;
import dev.agatepier.core.connection.StreamMessage.OriginReply;
import dev.agatepier.core.connection.StreamMessage.OriginRequest;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsReply;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsRequest;
import dev.agatepier.core.connection.StreamMessage.StreamBegan;
import dev.agatepier.core.process.RouterEffect.SendToOriginCache;
import dev.agatepier.core.process.RouterEvent.CallArrived;
import dev.agatepier.core.request.RequestId;
import dev.agatepier.core.request.StreamKey;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.core.version.SoftwareVersionHistory;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Upstream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Binds calls that resume a stream to the software version that began it, since upstreams of
 * another version would continue it with text that does not fit.
 *
 * <p>The version is found in the router's own memory, with the routers to which the origin of the
 * stream was sent, because the upstreams of the service have had only one software version since
 * the stream can have begun, or, if no router knows, with the origin caches beside the upstreams. A
 * call whose stream's origin is not found is rejected.
 */
public final class StreamResumptions {

  private final RouterState state;
  private final Admission admission;
  private final OriginRecords records;
  private final RecentSoftwareVersions recentVersions = new RecentSoftwareVersions();
  private final StreamLifetimes lifetimes = new StreamLifetimes();
  private final SoftwareVersionReplies replies;
  private final OriginSearch search;

  /** Creates the resumptions of a router that knows no stream. */
  public StreamResumptions(RouterState state, Admission admission) {
    this.state = state;
    this.admission = admission;
    records = new OriginRecords(state);
    replies = new SoftwareVersionReplies(state, recentVersions);
    search = new OriginSearch(state, admission, records, recentVersions, lifetimes);
  }

  /** Returns whether no call is held. */
  public boolean isEmpty() {
    return search.isEmpty();
  }

  /** Admits a call; one that resumes a stream is first held until the origin is known. */
  public void onCallArrived(CallArrived call, long nowNanos) {
    if (!call.resumesStream()
        || admission.checkAccess(call.workspace(), call.service()).isPresent()) {
      admission.admit(call, nowNanos);
      return;
    }
    search.start(call, key(call, call.labels().resumed().orElse("")), nowNanos);
  }

  /**
   * Records the software version that began a stream, and sends it to other routers and to the
   * origin cache beside the upstream.
   */
  void onFirstEvent(RoutedRequest request, long nowNanos) {
    CallArrived call = request.call;
    if (request.plan.resumable()
        && !call.resumesStream()
        && !call.labels().own().isEmpty()
        && !request.softwareVersion.isEmpty()) {
      StreamKey key = key(call, call.labels().own());
      records.record(key, request.softwareVersion, nowNanos);
      if (state.policy.originCachePort() > 0 && request.target instanceof DirectUpstream target) {
        StreamBegan began = new StreamBegan(key, request.softwareVersion);
        state.outbox.add(new SendToOriginCache(target.upstream().address(), began));
      }
    }
  }

  /** Handles the reply of an origin cache. */
  public void onCacheReply(String address, OriginReply reply, long nowNanos) {
    search.onCacheReply(address, reply, nowNanos);
  }

  /** Handles a message of another router. */
  public void onMessage(PeerIdentity peer, StreamMessage message, long nowNanos) {
    switch (message) {
      case StreamBegan began -> records.onStreamBegan(began, nowNanos);
      case OriginRequest request -> state.outbox.send(peer.instance(), reply(request, nowNanos));
      case OriginReply reply -> search.onReply(peer.instance(), reply, nowNanos);
      case SoftwareVersionsRequest request -> replies.onRequest(peer.instance(), request, nowNanos);
      case SoftwareVersionsReply reply -> search.onReply(peer.instance(), reply, nowNanos);
    }
  }

  /** Asks a router that has connected for the origins of the calls that are held. */
  public void onPeerConnected(PeerIdentity peer) {
    search.onPeerConnected(peer);
  }

  /** Stops waiting for the replies of a router whose link was lost. */
  public void onPeerDisconnected(PeerIdentity peer, long nowNanos) {
    search.onPeerDisconnected(peer, nowNanos);
  }

  /** Ends a held call whose caller has disconnected; returns whether there was one. */
  public boolean onCallerDisconnected(RequestId request) {
    return search.onCallerDisconnected(request);
  }

  /** Handles a list of upstreams, by which the origins of running streams may turn uncertain. */
  public void onInstancesActivated(InstanceList instances, long nowNanos) {
    recentVersions.onListActivated(instances.upstreams(), nowNanos);
    state.requests.values().stream()
        .filter(request -> request.softwareVersion.equals(RoutedRequest.UNCERTAIN_VERSION))
        .filter(request -> request.resumeAfter().isPresent())
        .forEach(request -> onFirstEvent(request, nowNanos));
  }

  /** Handles that the list of upstreams was the newest at a time. */
  public void onInstancesConfirmed(long startedNanos) {
    recentVersions.onListConfirmed(startedNanos);
  }

  /** Adds the software versions that upstreams had before the first list. */
  public void onSoftwareVersionsRead(SoftwareVersionHistory history) {
    recentVersions.addHistory(history);
  }

  /** Handles the upstreams that the platform had when a read started. */
  public void onUpstreamsRead(List<Upstream> upstreams, long startedNanos, long nowNanos) {
    recentVersions.onUpstreamsRead(upstreams, startedNanos);
    replies.onUpstreamsRead(nowNanos);
    search.onUpstreamsRead(upstreams, nowNanos);
  }

  /** Handles that the platform could not be read. */
  public void onUpstreamsReadFailed(long startedNanos, long nowNanos) {
    replies.onUpstreamsReadFailed(startedNanos, nowNanos);
    search.onUpstreamsReadFailed(startedNanos, nowNanos);
  }

  /** Derives from a table how long ago streams can have begun. */
  public void onTableActivated(Table table) {
    lifetimes.onTableActivated(table);
  }

  /** Handles the timers of held calls. */
  public void runDueTimers(long nowNanos) {
    search.runDueTimers(nowNanos);
  }

  /** Drops the origins of streams that must have ended. */
  public void expire(long nowNanos) {
    records.expire(lifetimes.longestNanos(), nowNanos);
  }

  private OriginReply reply(OriginRequest request, long nowNanos) {
    Optional<String> known = records.find(request.key());
    long lifetimeNanos = TimeUnit.MILLISECONDS.toNanos(request.lifetimeMillis());
    return new OriginReply(
        request.number(),
        known.isPresent(),
        known.orElse(""),
        recentVersions.isComplete(lifetimeNanos, nowNanos),
        recentVersions.reported(request.service(), lifetimeNanos, nowNanos));
  }

  private static StreamKey key(CallArrived call, String label) {
    return StreamKey.of(call.workspace(), call.service(), label);
  }
}
