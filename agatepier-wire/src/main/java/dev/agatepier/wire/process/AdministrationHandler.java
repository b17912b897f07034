package dev.agatepier.wire.process;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Answers one call of the administration API. */
@FunctionalInterface
public interface AdministrationHandler {

  /**
   * Answers a call; never blocks.
   *
   * @param parameters parts of the path by their names in the pattern
   */
  CompletableFuture<AdministrationResponse> handle(Map<String, String> parameters);
}
