package dev.agatepier.standin.process.internal;

import dev.agatepier.standin.request.Digests;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The least recently used cache of prompt prefixes, in blocks of a fixed number of tokens. */
final class PrefixCache {

  /** Tokens of one block. */
  static final int BLOCK_TOKENS = 32;

  private final Map<String, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final int capacity;

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /** Takes in a prompt and returns how many of its first tokens were cached. */
  int insert(List<String> words) {
    int cached = 0;
    boolean unbroken = true;
    String prefix = "";
    for (int end = BLOCK_TOKENS; end <= words.size(); end += BLOCK_TOKENS) {
      prefix = Digests.sha256(prefix + String.join(" ", words.subList(end - BLOCK_TOKENS, end)));
      unbroken = blocks.put(prefix, true) != null && unbroken;
      cached = unbroken ? end : cached;
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
