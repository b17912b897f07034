package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.standin.request.internal.EngineStream;
import java.util.concurrent.CompletableFuture;

/** What the engine stand-in's task is told. */
sealed interface EngineMessage {

  /** A request arrived. */
  record Submit(EngineStream stream) implements EngineMessage {}

  /** The connection of a request closed. */
  record Cancel(EngineStream stream) implements EngineMessage {}

  /** A step is over. */
  record Step() implements EngineMessage {}

  /** Time to take the load that is reported later. */
  record SampleLoad() implements EngineMessage {}

  /** Changes the settings that are named. */
  record PutSettings(JsonNode changes, CompletableFuture<Reply> reply) implements EngineMessage {}

  /** Reads the reported load. */
  record ReadLoad(CompletableFuture<Reply> reply) implements EngineMessage {}
}
