package dev.agatepier.core.process.internal;

import java.util.List;

/** Chooses the upstream of a request among those that can serve it. */
interface UpstreamChoice {

  /** Chooses the lowest score. docs/design/even-load.md compares alternatives. */
  UpstreamChoice LOWEST_SCORE =
      (entry, candidates, nowNanos) -> {
        Candidate best = null;
        for (Candidate candidate : candidates) {
          if (best == null || candidate.score() < best.score()) {
            best = candidate;
          }
        }
        return best;
      };

  /**
   * An upstream that has a slot and memory for a request.
   *
   * @param upstream the upstream
   * @param backlogMillis expected time to finish the work that it has, in milliseconds
   * @param score expected time and cost of the request there, in milliseconds
   */
  record Candidate(UpstreamLoad upstream, double backlogMillis, double score) {}

  /** Returns one of the candidates; null if there is none. */
  Candidate choose(WaitingEntry entry, List<Candidate> candidates, long nowNanos);

  /** Records that a request got a slot of an upstream. */
  default void recordGranted(WaitingEntry entry, UpstreamLoad upstream, long nowNanos) {}
}
