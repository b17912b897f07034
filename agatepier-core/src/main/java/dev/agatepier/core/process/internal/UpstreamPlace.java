package dev.agatepier.core.process.internal;

import dev.agatepier.core.version.Upstream;

/**
 * Where an upstream runs, and what software.
 *
 * @param dataCentre data centre in which it runs
 * @param softwareVersion version of its software; empty if unknown
 */
public record UpstreamPlace(String dataCentre, String softwareVersion) {

  /** Returns the place of an upstream. */
  public static UpstreamPlace of(Upstream upstream) {
    return new UpstreamPlace(upstream.dataCentre(), upstream.softwareVersion());
  }
}
