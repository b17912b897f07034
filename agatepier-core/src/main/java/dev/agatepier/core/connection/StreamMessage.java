package dev.agatepier.core.connection;

import dev.agatepier.core.request.StreamKey;
import java.util.List;
import java.util.Objects;

/** A message between routers about the software versions that began streams. */
public sealed interface StreamMessage extends LinkMessage {

  /**
   * Reports that a caller has received the first event of a stream.
   *
   * @param key the stream
   * @param softwareVersion software version of the upstream that wrote the event
   */
  record StreamBegan(StreamKey key, String softwareVersion) implements StreamMessage {

    /** Rejects null components. */
    public StreamBegan {
      Objects.requireNonNull(key, "key");
      Objects.requireNonNull(softwareVersion, "softwareVersion");
    }
  }

  /**
   * Asks which software version began a stream.
   *
   * @param number number that the reply repeats
   * @param key the stream
   * @param service service of the stream
   * @param lifetimeMillis how long ago the stream may have begun, in milliseconds
   */
  record OriginRequest(long number, StreamKey key, String service, long lifetimeMillis)
      implements StreamMessage {

    /** Rejects null components. */
    public OriginRequest {
      Objects.requireNonNull(key, "key");
      Objects.requireNonNull(service, "service");
    }
  }

  /**
   * Replies to an {@link OriginRequest}.
   *
   * @param number number of the request
   * @param known whether the sender knows which software version began the stream
   * @param softwareVersion that software version; empty if it is not known
   * @param complete whether {@code recentVersions} covers the whole time in which the stream may
   *     have begun
   * @param recentVersions software versions of the service's upstreams in that time, as far as the
   *     sender knows; the first two if there are more
   */
  record OriginReply(
      long number,
      boolean known,
      String softwareVersion,
      boolean complete,
      List<String> recentVersions)
      implements StreamMessage {

    /** Copies the versions. */
    public OriginReply {
      Objects.requireNonNull(softwareVersion, "softwareVersion");
      recentVersions = List.copyOf(recentVersions);
    }
  }

  /**
   * Asks a router to read from the platform which software versions the upstreams of a service have
   * now, for a router that cannot read it.
   *
   * @param number number that the reply repeats
   * @param service the service
   * @param lifetimeMillis time before the request for which all versions are asked, in milliseconds
   */
  record SoftwareVersionsRequest(long number, String service, long lifetimeMillis)
      implements StreamMessage {

    /** Rejects null components. */
    public SoftwareVersionsRequest {
      Objects.requireNonNull(service, "service");
    }
  }

  /**
   * Replies to a {@link SoftwareVersionsRequest}.
   *
   * @param number number of the request
   * @param complete whether {@code recentVersions} covers the whole time asked for, up to a read of
   *     the platform that started after the request was received
   * @param recentVersions software versions of the service's upstreams in that time, as far as the
   *     sender knows; the first two if there are more
   */
  record SoftwareVersionsReply(long number, boolean complete, List<String> recentVersions)
      implements StreamMessage {

    /** Copies the versions. */
    public SoftwareVersionsReply {
      recentVersions = List.copyOf(recentVersions);
    }
  }
}
