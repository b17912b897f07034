package dev.agatepier.standin.process.internal;

import dev.agatepier.standin.request.Digests;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** An LRU cache of prompt prefixes, in blocks of a fixed number of tokens. */
final class PrefixCache {

  /** Number of tokens in a block. */
  static final int BLOCK_TOKENS = 32;

  private final Map<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final int capacity;

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Inserts the blocks of a prompt, and returns the length in tokens of the prefix that was cached
   * before.
   */
  int insert(List<String> words) {
    int cached = 0;
    boolean contiguous = true;
    String prefix = "";
    for (int end = BLOCK_TOKENS; end <= words.size(); end += BLOCK_TOKENS) {
      prefix = Digests.sha256(prefix + String.join(" ", words.subList(end - BLOCK_TOKENS, end)));
      contiguous = blocks.put(prefix, true) != null && contiguous;
      cached = contiguous ? end : cached;
      evict();
    }
    return cached;
  }

  private void evict() {
    while (blocks.size() > capacity) {
      blocks.remove(blocks.keySet().iterator().next());
    }
  }
}
