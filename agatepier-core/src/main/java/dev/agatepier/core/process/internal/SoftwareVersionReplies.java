package dev.agatepier.core.process.internal;

import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsReply;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsRequest;
import dev.agatepier.core.process.RouterEffect.ReadUpstreams;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Replies to routers that cannot read the platform with the software versions that it has, after a
 * read that started later than the request was received.
 */
final class SoftwareVersionReplies {

  /** Maximum number of requests that wait for a read; the oldest is dropped if there are more. */
  private static final int MAXIMUM_WAITING = 256;

  private final RouterState state;
  private final RecentSoftwareVersions versions;
  private final Deque<Waiting> waiting = new ArrayDeque<>();

  private record Waiting(String router, SoftwareVersionsRequest request, long receivedNanos) {}

  SoftwareVersionReplies(RouterState state, RecentSoftwareVersions versions) {
    this.state = state;
    this.versions = versions;
  }

  /** Reads the platform for another router. */
  void onRequest(String router, SoftwareVersionsRequest request, long nowNanos) {
    if (waiting.size() == MAXIMUM_WAITING) {
      waiting.remove();
    }
    waiting.add(new Waiting(router, request, nowNanos));
    state.outbox.add(new ReadUpstreams());
  }

  /** Replies to the requests that were received before the last read of the platform. */
  void onUpstreamsRead(long nowNanos) {
    while (!waiting.isEmpty() && versions.wereUpstreamsReadAfter(waiting.peek().receivedNanos())) {
      Waiting next = waiting.remove();
      long lifetimeNanos = TimeUnit.MILLISECONDS.toNanos(next.request().lifetimeMillis());
      reply(next, versions.isComplete(lifetimeNanos, nowNanos), nowNanos);
    }
  }

  /** Replies to the requests that the failed read was for that later versions may be missing. */
  void onUpstreamsReadFailed(long startedNanos, long nowNanos) {
    while (!waiting.isEmpty() && startedNanos - waiting.peek().receivedNanos() >= 0) {
      reply(waiting.remove(), false, nowNanos);
    }
  }

  private void reply(Waiting to, boolean complete, long nowNanos) {
    SoftwareVersionsRequest request = to.request();
    long lifetimeNanos = TimeUnit.MILLISECONDS.toNanos(request.lifetimeMillis());
    state.outbox.send(
        to.router(),
        new SoftwareVersionsReply(
            request.number(),
            complete,
            versions.reported(request.service(), lifetimeNanos, nowNanos)));
  }
}
