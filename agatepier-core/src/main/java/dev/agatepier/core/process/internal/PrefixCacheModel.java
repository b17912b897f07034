package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * What an engine is believed to keep of the prompts that it was sent. Parts that running requests
 * use stay; of the others the least recently used yield when memory runs out.
 */
final class PrefixCacheModel {

  /** Parts remembered of an engine whose memory is not published. */
  private static final int MOST_PARTS = 8_192;

  private final Map<String, Kept> parts = new LinkedHashMap<>(16, 0.75f, true);
  private long keptTokens;
  private long pinnedTokens;

  /** One part and the number of running requests that use it. */
  private static final class Kept {
    private final int tokens;
    private int users;

    private Kept(int tokens) {
      this.tokens = tokens;
    }
  }

  /** Returns the tokens that the engine would have to read for a prompt. */
  int uncachedTokens(PromptMetadata prompt) {
    int read = 0;
    for (PromptPart part : prompt.parts()) {
      if (!parts.containsKey(part.identity())) {
        break;
      }
      read += part.tokens();
    }
    return Math.max(0, prompt.promptTokens() - read);
  }

  /** Returns the tokens that the engine would have to read of parts that requests share. */
  int uncachedSharedTokens(PromptMetadata prompt) {
    int own = prompt.parts().isEmpty() ? 0 : prompt.parts().getLast().tokens();
    return Math.max(0, uncachedTokens(prompt) - own);
  }

  /** Returns the tokens of parts that running requests use. */
  long pinnedTokens() {
    return pinnedTokens;
  }

  /** Notes that a request that uses a prompt runs. */
  void pin(PromptMetadata prompt) {
    for (PromptPart part : prompt.parts()) {
      Kept kept = parts.get(part.identity());
      if (kept == null) {
        kept = new Kept(part.tokens());
        parts.put(part.identity(), kept);
        keptTokens += kept.tokens;
      }
      if (kept.users++ == 0) {
        pinnedTokens += kept.tokens;
      }
    }
  }

  /**
   * Notes that a request that used a prompt has ended.
   *
   * @param read whether its prompt was read, so that its parts are kept
   */
  void unpin(PromptMetadata prompt, boolean read) {
    for (PromptPart part : prompt.parts()) {
      Kept kept = parts.get(part.identity());
      if (kept != null && --kept.users == 0) {
        pinnedTokens -= kept.tokens;
        if (!read) {
          parts.remove(part.identity());
          keptTokens -= kept.tokens;
        }
      }
    }
  }

  /** Lets parts yield until what is kept fits beside what answers take. */
  void evict(OptionalLong memoryTokens, long answerTokens) {
    long room = memoryTokens.orElse(Long.MAX_VALUE) - answerTokens;
    Iterator<Kept> oldestFirst = parts.values().iterator();
    while ((keptTokens > room || parts.size() > MOST_PARTS) && oldestFirst.hasNext()) {
      Kept kept = oldestFirst.next();
      if (kept.users == 0) {
        oldestFirst.remove();
        keptTokens -= kept.tokens;
      }
    }
  }
}
