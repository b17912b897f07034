package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.LeastRecentlyUsedMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Keeps each shared prefix on as few upstreams of a data centre as its load needs: prefilling it
 * elsewhere costs more. Candidates that meet the objective only are compared, so a request that
 * could be in time elsewhere does not wait for a home until it is late.
 */
final class HomeChoice implements UpstreamChoice {

  /**
   * Weight of prefilling a prefix away from its homes, in addition to that of any upstream.
   * docs/design/prefix-homes.md has the figures.
   */
  private static final double AWAY_WEIGHT = 5;

  /** Time for which a ranking of the upstreams is kept. */
  private static final long RANKING_NANOS = 1_000_000_000L;

  /** Maximum number of prefixes whose ranking is kept. */
  private static final int CAPACITY = 1_024;

  private final UsableUpstreams upstreams;
  private final HomeCounts counts;
  private final SmoothedSpeeds speeds = new SmoothedSpeeds();
  private final Map<String, Ranking> rankings = new LeastRecentlyUsedMap<>(CAPACITY);

  /** The upstreams by their rank for a prefix. */
  private record Ranking(List<UpstreamLoad> upstreams, long rankedNanos) {}

  /**
   * Creates a choice for prefixes without load.
   *
   * @param listener is told when a prefix needs another number of homes
   */
  HomeChoice(UsableUpstreams upstreams, HomeCounts.Listener listener) {
    this.counts = new HomeCounts(listener);
    this.upstreams = upstreams;
  }

  @Override
  public Candidate choose(WaitingEntry entry, List<Candidate> candidates, long nowNanos) {
    return candidates.size() < 2 || !entry.fromFirstAttempt
        ? LOWEST_SCORE.choose(entry, candidates, nowNanos)
        : SharedPrefix.of(entry.call.prompt())
            .map(prefix -> chooseNearHome(entry, prefix, candidates, nowNanos))
            .orElseGet(() -> LOWEST_SCORE.choose(entry, candidates, nowNanos));
  }

  @Override
  public void recordGranted(WaitingEntry entry, UpstreamLoad upstream, long nowNanos) {
    if (entry.fromFirstAttempt) {
      SharedPrefix.of(entry.call.prompt())
          .ifPresent(
              prefix ->
                  counts.record(
                      prefix.identity(), upstream.prefillMillis(prefix.ownTokens()), nowNanos));
    }
  }

  private Candidate chooseNearHome(
      WaitingEntry entry, SharedPrefix prefix, List<Candidate> candidates, long nowNanos) {
    Set<UpstreamLoad> homes = homes(entry, prefix, nowNanos);
    List<Candidate> adjusted = new ArrayList<>();
    for (Candidate each : candidates) {
      UpstreamLoad upstream = each.upstream();
      int tokens = upstream.cache.uncachedSharedTokens(entry.call.prompt().orElseThrow());
      double awayMillis =
          homes.contains(upstream) ? 0 : AWAY_WEIGHT * tokens * upstream.millisPerPromptToken();
      adjusted.add(new Candidate(upstream, each.backlogMillis(), each.score() + awayMillis));
    }
    return LOWEST_SCORE.choose(entry, adjusted, nowNanos);
  }

  /** Returns the homes of a prefix among the usable upstreams. */
  private Set<UpstreamLoad> homes(WaitingEntry entry, SharedPrefix prefix, long nowNanos) {
    Ranking ranking = rankings.get(prefix.identity());
    if (ranking == null || nowNanos - ranking.rankedNanos() > RANKING_NANOS) {
      ranking = new Ranking(rank(prefix, nowNanos), nowNanos);
      rankings.put(prefix.identity(), ranking);
    }
    return ranking.upstreams().stream()
        .filter(upstream -> upstreams.isUsable(upstream, entry, nowNanos))
        .limit(counts.count(prefix.identity(), nowNanos))
        .collect(Collectors.toSet());
  }

  private List<UpstreamLoad> rank(SharedPrefix prefix, long nowNanos) {
    Map<String, UpstreamLoad> listed = new HashMap<>();
    for (UpstreamLoad upstream : upstreams.all()) {
      listed.put(upstream.upstream.name(), upstream);
      speeds.record(upstream.upstream.name(), 1 / upstream.millisPerPromptToken(), nowNanos);
    }
    speeds.retain(listed.keySet());
    return RendezvousHash.sortedByWeight(
            prefix.identity(), listed.keySet(), name -> name, speeds::get)
        .stream()
        .map(listed::get)
        .toList();
  }
}
