package dev.agatepier.core.request;

import java.util.Objects;
import java.util.Optional;

/**
 * Labels by which a caller refers to its calls.
 *
 * @param own label of the call itself; empty if the caller gave none
 * @param resumed label of the call that brought the first event of the stream that this call
 *     resumes; empty if the caller named none
 */
public record CallLabels(String own, Optional<String> resumed) {

  /** Labels of a call whose caller gave none. */
  public static final CallLabels NONE = new CallLabels("", Optional.empty());

  /** Rejects null labels. */
  public CallLabels {
    Objects.requireNonNull(own, "own");
    Objects.requireNonNull(resumed, "resumed");
  }
}
