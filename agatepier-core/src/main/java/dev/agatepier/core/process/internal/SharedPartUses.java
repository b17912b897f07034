package dev.agatepier.core.process.internal;

import dev.agatepier.core.process.LeastRecentlyUsedMap;
import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import java.util.Map;

/** When the requests of one service last used each shared prompt part, for the metrics. */
final class SharedPartUses {

  /** Time after its last use for which a part is expected to be cached; operators pay for less. */
  private static final long REUSE_NANOS = 10_000_000_000L;

  /** Maximum number of parts. */
  private static final int CAPACITY = 8_192;

  private final Map<String, Long> usedNanos = new LeastRecentlyUsedMap<>(CAPACITY);

  /**
   * Records that a request gets a slot of an engine.
   *
   * @return shared tokens that the engine prefills although they were used a short time ago
   */
  int recordUse(PromptMetadata prompt, PrefixCacheModel cache, long nowNanos) {
    int repeated = 0;
    for (PromptPart part : cache.uncachedSharedParts(prompt)) {
      Long used = usedNanos.get(part.identity());
      repeated += used != null && nowNanos - used <= REUSE_NANOS ? part.tokens() : 0;
    }
    prompt.sharedParts().forEach(part -> usedNanos.put(part.identity(), nowNanos));
    return repeated;
  }
}
