package dev.agatepier.core.request;

import java.util.Objects;

/**
 * Identifies resends of a request by their content, independently of their request identities.
 *
 * @param workspace workspace of the caller
 * @param service service called
 * @param contentDigest lower-case hexadecimal SHA-256 of method, path and body
 */
public record Fingerprint(String workspace, String service, String contentDigest) {

  /** Rejects null parts. */
  public Fingerprint {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(contentDigest, "contentDigest");
  }
}
