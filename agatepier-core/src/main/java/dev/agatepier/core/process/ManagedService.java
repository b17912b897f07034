package dev.agatepier.core.process;

import java.util.concurrent.CompletableFuture;

/** A part of a process that is started once and stopped once. */
public interface ManagedService {

  /** Starts the service; the future completes when it is ready, or fails with its layer's error. */
  CompletableFuture<Void> start();

  /** Stops the service gracefully; the future completes when everything it owned is released. */
  CompletableFuture<Void> stop();
}
