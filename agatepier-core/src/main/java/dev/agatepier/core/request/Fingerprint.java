package dev.agatepier.core.request;

import java.util.Objects;

/**
 * Identifies resends of a request by their content, independently of their request identities, or
 * all requests of a service that share a prompt part.
 *
 * @param workspace workspace of the caller; empty for a prompt part
 * @param service service called
 * @param contentDigest lower-case hexadecimal SHA-256 of method, path and body, or the identity of
 *     a prompt part with a prefix
 */
public record Fingerprint(String workspace, String service, String contentDigest) {

  private static final String PART_PREFIX = "part:";

  /** Rejects null parts. */
  public Fingerprint {
    Objects.requireNonNull(workspace, "workspace");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(contentDigest, "contentDigest");
  }

  /** Returns the fingerprint of all requests of a service whose prompt contains a part. */
  public static Fingerprint ofPart(String service, PromptPart part) {
    return new Fingerprint("", service, PART_PREFIX + part.identity());
  }
}
