package dev.agatepier.core.process.internal;

import dev.agatepier.core.request.PromptMetadata;
import java.util.Optional;

/**
 * The prompt parts that a request shares with others, if they are long enough to have a home.
 *
 * @param identity identity of the last shared part, which no other prefix has
 * @param tokens tokens of all shared parts
 * @param ownTokens tokens of the prompt that no other request has
 */
record SharedPrefix(String identity, int tokens, int ownTokens) {

  /** Number of shared tokens below which a prefix has no home. */
  private static final int MINIMUM_TOKENS = 1_000;

  /** Returns the shared prefix of a prompt; empty if it is short. */
  static Optional<SharedPrefix> of(Optional<PromptMetadata> prompt) {
    return prompt
        .filter(found -> found.sharedTokens() >= MINIMUM_TOKENS)
        .map(
            found ->
                new SharedPrefix(
                    found.sharedParts().getLast().identity(),
                    found.sharedTokens(),
                    found.ownTokens()));
  }
}
