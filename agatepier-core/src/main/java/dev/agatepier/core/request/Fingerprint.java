package dev.agatepier.core.request;

import java.util.Objects;

/**
 * Recognises a request that is sent again, whatever identity the resend has.
 *
 * @param workspace workspace of the caller
 * @param service service called
 * @param contentDigest lower-case hexadecimal SHA-256 of method, path and body
 */
public record Fingerprint(String workspace, String service, String contentDigest) {

  /** Checks that every part is present. */
  public Fingerprint {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(contentDigest, "contentDigest");
  }
}
