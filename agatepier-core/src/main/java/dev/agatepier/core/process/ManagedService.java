package dev.agatepier.core.process;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A part of a process that is started once and stopped once. */
public interface ManagedService {

  /** Stands for a part that a process does without. */
  ManagedService NONE =
      new ManagedService() {
        @Override
        public CompletableFuture<Void> start() {
          return CompletableFuture.completedFuture(null);
        }

        @Override
        public CompletableFuture<Void> stop() {
          return CompletableFuture.completedFuture(null);
        }
      };

  /** Returns a part that a process may do without, or what stands for it. */
  static ManagedService orNone(Optional<? extends ManagedService> service) {
    return service.isPresent() ? service.get() : NONE;
  }

  /** Starts the service; the future completes when it is ready, or fails with its layer's error. */
  CompletableFuture<Void> start();

  /** Stops the service gracefully; the future completes when everything it owned is released. */
  CompletableFuture<Void> stop();
}
