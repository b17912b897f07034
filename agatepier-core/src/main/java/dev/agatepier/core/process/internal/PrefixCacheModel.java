package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Estimates the contents of an engine's prefix cache from the prompts sent to it. Parts that
 * running requests use are pinned; the others are evicted in least recently used order when memory
 * runs out.
 */
final class PrefixCacheModel {

  /** Bound of the parts tracked; the only bound for an engine whose memory size is unknown. */
  private static final int MAX_PARTS = 8_192;

  private final Map<String, CachedPart> parts = new LinkedHashMap<>(16, 0.75f, true);
  private long cachedTokens;
  private long pinnedTokens;

  /** A cached prompt part and the number of running requests that use it. */
  private static final class CachedPart {
    private final int tokens;
    private int pins;

    private CachedPart(int tokens) {
      this.tokens = tokens;
    }
  }

  /** Returns the tokens of a prompt that the engine would have to prefill. */
  int uncachedTokens(PromptMetadata prompt) {
    int hitTokens = 0;
    for (PromptPart part : prompt.parts()) {
      if (!parts.containsKey(part.identity())) {
        break;
      }
      hitTokens += part.tokens();
    }
    return Math.max(0, prompt.promptTokens() - hitTokens);
  }

  /** Returns the uncached tokens of a prompt without its last part, which is not shared. */
  int uncachedSharedTokens(PromptMetadata prompt) {
    int lastTokens = prompt.parts().isEmpty() ? 0 : prompt.parts().getLast().tokens();
    return Math.max(0, uncachedTokens(prompt) - lastTokens);
  }

  /** Returns the shared parts of a prompt that the engine would have to prefill. */
  List<PromptPart> uncachedSharedParts(PromptMetadata prompt) {
    List<PromptPart> shared = prompt.sharedParts();
    int cached = 0;
    while (cached < shared.size() && parts.containsKey(shared.get(cached).identity())) {
      cached++;
    }
    return shared.subList(cached, shared.size());
  }

  /** Returns the tokens of a prompt but for the parts that running requests use. */
  int unpinnedTokens(PromptMetadata prompt) {
    int pinned = 0;
    for (PromptPart part : prompt.parts()) {
      CachedPart cached = parts.get(part.identity());
      if (cached != null && cached.pins > 0) {
        pinned += cached.tokens;
      }
    }
    return Math.max(0, prompt.promptTokens() - pinned);
  }

  /** Returns the tokens of the parts that running requests use. */
  long pinnedTokens() {
    return pinnedTokens;
  }

  /** Adds the parts of a prompt to the cache and pins them for a request that starts to run. */
  void pin(PromptMetadata prompt) {
    for (PromptPart part : prompt.parts()) {
      CachedPart cached = parts.get(part.identity());
      if (cached == null) {
        cached = new CachedPart(part.tokens());
        parts.put(part.identity(), cached);
        cachedTokens += cached.tokens;
      }
      if (cached.pins++ == 0) {
        pinnedTokens += cached.tokens;
      }
    }
  }

  /**
   * Unpins the parts of a prompt of a request that has ended.
   *
   * @param prefilled whether the prompt was prefilled, so that its parts stay in the cache
   */
  void unpin(PromptMetadata prompt, boolean prefilled) {
    for (PromptPart part : prompt.parts()) {
      CachedPart cached = parts.get(part.identity());
      if (cached != null && --cached.pins == 0) {
        pinnedTokens -= cached.tokens;
        if (!prefilled) {
          parts.remove(part.identity());
          cachedTokens -= cached.tokens;
        }
      }
    }
  }

  /** Evicts unpinned parts until the cache fits into the memory that output tokens leave. */
  void evict(OptionalLong memoryTokens, long outputTokens) {
    long capacityTokens = memoryTokens.orElse(Long.MAX_VALUE) - outputTokens;
    Iterator<CachedPart> leastRecentFirst = parts.values().iterator();
    while ((cachedTokens > capacityTokens || parts.size() > MAX_PARTS)
        && leastRecentFirst.hasNext()) {
      CachedPart cached = leastRecentFirst.next();
      if (cached.pins == 0) {
        leastRecentFirst.remove();
        cachedTokens -= cached.tokens;
      }
    }
  }
}
