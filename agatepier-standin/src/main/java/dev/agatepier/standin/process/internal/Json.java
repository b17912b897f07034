package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Reads and writes the JSON of the stand-ins. */
public final class Json {

  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private Json() {}

  /** Returns an empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Returns the encoding of a value. */
  public static String write(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException failure) {
      throw new IllegalArgumentException("not encodable as JSON", failure);
    }
  }

  /** Returns the indented encoding of a value. */
  public static String writeIndented(Object value) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException failure) {
      throw new IllegalArgumentException("not encodable as JSON", failure);
    }
  }

  /**
   * Decodes a value.
   *
   * @throws IllegalArgumentException if the bytes aren't JSON of this type
   */
  public static <T> T read(byte[] bytes, Class<T> type) {
    try {
      T value = MAPPER.readValue(bytes, type);
      if (value == null) {
        throw new IllegalArgumentException("the JSON is null");
      }
      return value;
    } catch (IOException malformed) {
      throw new IllegalArgumentException("malformed JSON: " + malformed.getMessage(), malformed);
    }
  }

  /**
   * Decodes a node of a document; returns null if the node is missing.
   *
   * @throws IllegalArgumentException if the node isn't of this type
   */
  public static <T> T readOptional(JsonNode node, Class<T> type) {
    try {
      return node.isMissingNode() ? null : MAPPER.treeToValue(node, type);
    } catch (JsonProcessingException malformed) {
      throw new IllegalArgumentException("malformed: " + malformed.getMessage(), malformed);
    }
  }
}
