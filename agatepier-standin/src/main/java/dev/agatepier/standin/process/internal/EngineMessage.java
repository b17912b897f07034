package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.standin.request.internal.EngineStream;
import java.util.concurrent.CompletableFuture;

/** Messages to the task of the engine stand-in. */
sealed interface EngineMessage {

  /** A request arrived. */
  record Submit(EngineStream stream) implements EngineMessage {}

  /** The connection of a request closed. */
  record Cancel(EngineStream stream) implements EngineMessage {}

  /** A step of the batch has ended. */
  record Step() implements EngineMessage {}

  /** Samples the load; {@link ReadLoad} reports this sample until the next one is taken. */
  record SampleLoad() implements EngineMessage {}

  /** Changes the settings that the JSON object contains; all others stay. */
  record PutSettings(JsonNode changes, CompletableFuture<Reply> reply) implements EngineMessage {}

  /** Reads the last sample of the load. */
  record ReadLoad(CompletableFuture<Reply> reply) implements EngineMessage {}
}
