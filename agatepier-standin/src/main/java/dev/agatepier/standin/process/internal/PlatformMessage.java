package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;

/** Messages to the task of the platform stand-in. */
sealed interface PlatformMessage {

  /** A document that can be read and watched. */
  enum Document {
    /** The manifest of the table. */
    TABLE,
    /** The instance list. */
    INSTANCES
  }

  /** Reads a document, waiting up to {@code waitMillis} for a version above {@code after}. */
  record Read(Document document, long after, long waitMillis, CompletableFuture<Reply> reply)
      implements PlatformMessage {}

  /** The wait of a watch has timed out. */
  record Expired(Read watch) implements PlatformMessage {}

  /** Reads a page of the table. */
  record ReadPage(String name, CompletableFuture<Reply> reply) implements PlatformMessage {}

  /**
   * Publishes a table if the current version is the expected one. A null text keeps the current
   * text, and a negative expected version matches any.
   */
  record PutTable(
      long expectedVersion, String workspaces, String services, CompletableFuture<Reply> reply)
      implements PlatformMessage {}

  /** Publishes an instance list. */
  record PutInstances(JsonNode instances, CompletableFuture<Reply> reply)
      implements PlatformMessage {}

  /** A published instance list becomes visible. */
  record InstancesVisible(long version, JsonNode instances) implements PlatformMessage {}

  /** Replaces the faults. */
  record PutFaults(PlatformFaults faults, CompletableFuture<Reply> reply)
      implements PlatformMessage {}

  /** Reads the request counts. */
  record ReadCounts(CompletableFuture<Reply> reply) implements PlatformMessage {}
}
