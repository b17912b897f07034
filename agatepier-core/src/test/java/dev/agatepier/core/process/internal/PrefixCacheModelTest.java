package dev.agatepier.core.process.internal;

import static org.testng.Assert.assertEquals;

import dev.agatepier.core.request.PromptMetadata;
import dev.agatepier.core.request.PromptPart;
import java.util.List;
import java.util.OptionalLong;
import org.testng.annotations.Test;

public class PrefixCacheModelTest {

  private final PrefixCacheModel cache = new PrefixCacheModel();

  @Test
  public void countsTokensAfterCachedPrefix() {
    cachePrompt("a", "b");
    assertEquals(cache.uncachedTokens(prompt("a", "b")), 0);
    assertEquals(cache.uncachedTokens(prompt("a", "c")), 100);
    assertEquals(
        cache.uncachedTokens(prompt("c", "b")),
        200,
        "a part is a hit only if all parts before it are cached");
  }

  /** Guards against parts that count as prefilled again after nobody has used them for long. */
  @Test
  public void countsRecentlyUsedTokensAsRepeated() {
    long second = 1_000_000_000;
    SharedPartUses uses = new SharedPartUses();
    assertEquals(uses.recordUse(prompt("a", "own 1"), cache, second), 0, "first use");
    assertEquals(uses.recordUse(prompt("a", "own 2"), cache, 11 * second), 100);
    assertEquals(uses.recordUse(prompt("a", "own 3"), cache, 22 * second), 0, "after 11 s");
    cachePrompt("a", "own 3");
    assertEquals(uses.recordUse(prompt("a", "own 4"), cache, 23 * second), 0, "cached");
  }

  @Test
  public void promptThatWasNotPrefilledIsNotCached() {
    PromptMetadata prompt = prompt("d", "e");
    cache.pin(prompt);
    cache.unpin(prompt, false);
    assertEquals(cache.uncachedTokens(prompt), 200);
  }

  @Test
  public void evictsLeastRecentlyUsedPartsExceptPinnedOnes() {
    PrefixCacheModel small = new PrefixCacheModel();
    PromptMetadata running = prompt("r", "s");
    small.pin(running);
    for (String name : List.of("1", "2", "3")) {
      PromptMetadata prompt = new PromptMetadata("m", 100, 10, List.of(new PromptPart(name, 100)));
      small.pin(prompt);
      small.unpin(prompt, true);
      small.evict(OptionalLong.of(450), 50);
    }
    assertEquals(small.pinnedTokens(), 200);
    assertEquals(small.uncachedTokens(running), 0);
    assertEquals(
        small.uncachedTokens(onePartPrompt("1")), 100, "the least recently used part is evicted");
    assertEquals(small.uncachedTokens(onePartPrompt("3")), 0);
  }

  private void cachePrompt(String first, String second) {
    PromptMetadata prompt = prompt(first, second);
    cache.pin(prompt);
    cache.unpin(prompt, true);
  }

  private static PromptMetadata onePartPrompt(String part) {
    return new PromptMetadata("m", 100, 10, List.of(new PromptPart(part, 100)));
  }

  private static PromptMetadata prompt(String first, String second) {
    return new PromptMetadata(
        "m", 200, 10, List.of(new PromptPart(first, 100), new PromptPart(second, 100)));
  }
}
