package dev.agatepier.wire.process;

import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Handles the requests of one route of the administration API. */
@FunctionalInterface
public interface AdministrationHandler {

  /**
   * Handles a request; must not block.
   *
   * @param parameters path parameters by their names in the pattern of the route
   */
  CompletableFuture<AdministrationResponse> handle(Map<String, String> parameters);
}
