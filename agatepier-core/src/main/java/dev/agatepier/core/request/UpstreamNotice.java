package dev.agatepier.core.request;

import java.util.OptionalLong;

/**
 * What the head of an upstream's response says of further requests to it.
 *
 * @param leaving whether the process that sent it is leaving and wants no new requests
 * @param pauseMillis time for which it wants no requests, in milliseconds; empty if it says nothing
 */
public record UpstreamNotice(boolean leaving, OptionalLong pauseMillis) {

  /** A head that says nothing. */
  public static final UpstreamNotice NONE = new UpstreamNotice(false, OptionalLong.empty());
}
