package dev.agatepier.core.process;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A component of a process that is started once and stopped once. */
public interface ManagedService {

  /** A component that does nothing, used where an optional component is absent. */
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

  /** Returns the given component, or {@link #NONE} if it is absent. */
  static ManagedService orNone(Optional<? extends ManagedService> service) {
    return service.isPresent() ? service.get() : NONE;
  }

  /** Starts the component. The future completes when it is ready, or fails with the cause. */
  CompletableFuture<Void> start();

  /** Stops the component gracefully. The future completes when its resources are released. */
  CompletableFuture<Void> stop();
}
