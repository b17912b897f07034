package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletableFuture;

/** What the platform stand-in's task is told. */
sealed interface PlatformMessage {

  /** What may be watched. */
  enum Subject {
    /** The manifest of the table. */
    TABLE,
    /** The instance list. */
    INSTANCES
  }

  /** Reads a subject as soon as its version is above one known. */
  record Read(Subject subject, long after, long waitMillis, CompletableFuture<Reply> reply)
      implements PlatformMessage {}

  /** A watch has waited long enough. */
  record Expired(Read watch) implements PlatformMessage {}

  /** Reads one page. */
  record ReadPage(String name, CompletableFuture<Reply> reply) implements PlatformMessage {}

  /** Publishes a table; an absent text stays as it is, a negative version expects any. */
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

  /** Reads the counts of calls. */
  record ReadCounts(CompletableFuture<Reply> reply) implements PlatformMessage {}
}
