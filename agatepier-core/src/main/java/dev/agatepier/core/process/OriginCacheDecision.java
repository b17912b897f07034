package dev.agatepier.core.process;

import dev.agatepier.core.connection.StreamMessage;
import dev.agatepier.core.connection.StreamMessage.OriginReply;
import dev.agatepier.core.connection.StreamMessage.OriginRequest;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsReply;
import dev.agatepier.core.connection.StreamMessage.SoftwareVersionsRequest;
import dev.agatepier.core.connection.StreamMessage.StreamBegan;
import dev.agatepier.core.process.internal.StreamOrigins;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Decision of an origin cache, a process beside an upstream that outlives the routers: it remembers
 * which software version began the streams of the upstream, and tells routers that ask.
 */
public final class OriginCacheDecision {

  /** Time for which a stream is remembered; no stream can be resumed that long after its start. */
  private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(120);

  private final StreamOrigins origins = new StreamOrigins();

  /** Handles a message of a router and returns the messages to send back. */
  public List<StreamMessage> decide(StreamMessage message, long nowNanos) {
    origins.expire(RETENTION_NANOS, nowNanos);
    return switch (message) {
      case StreamBegan began -> {
        origins.record(began.key(), began.softwareVersion(), nowNanos);
        yield List.of();
      }
      case OriginRequest request -> List.of(reply(request));
      case OriginReply _, SoftwareVersionsRequest _, SoftwareVersionsReply _ -> List.of();
    };
  }

  /** Returns the number of streams that are remembered. */
  public int size() {
    return origins.size();
  }

  private OriginReply reply(OriginRequest request) {
    Optional<String> known = origins.find(request.key());
    return new OriginReply(request.number(), known.isPresent(), known.orElse(""), false, List.of());
  }
}
