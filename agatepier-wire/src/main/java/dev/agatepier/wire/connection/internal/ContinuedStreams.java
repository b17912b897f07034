package dev.agatepier.wire.connection.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import dev.agatepier.core.process.RouterEffect.RunAttempt;

/**
 * Counts the attempts that continue a stream, by whether the upstream has the software version that
 * began it.
 */
public final class ContinuedStreams {

  private final Counter sameVersion;
  private final Counter otherVersion;
  private final Counter unknownVersion;

  /** Registers the counters. */
  public ContinuedStreams(MetricRegistry metrics) {
    sameVersion = metrics.counter("upstreams.continued-same-version");
    otherVersion = metrics.counter("upstreams.continued-other-version");
    unknownVersion = metrics.counter("upstreams.continued-unknown-version");
  }

  /** Counts an attempt that is passed to its upstream, if it continues a stream. */
  public void count(RunAttempt attempt) {
    if (attempt.resumeAfter().isEmpty()) {
      return;
    }
    String began = attempt.softwareVersion();
    if (began.isEmpty()) {
      unknownVersion.inc();
    } else if (began.equals(attempt.upstream().softwareVersion())) {
      sameVersion.inc();
    } else {
      otherVersion.inc();
    }
  }
}
