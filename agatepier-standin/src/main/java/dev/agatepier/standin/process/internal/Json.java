package dev.agatepier.standin.process.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** The JSON that stand-ins read and write. */
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
   * @throws IllegalArgumentException if the bytes are no such value
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
   * Decodes a part of a document; null for an absent one.
   *
   * @throws IllegalArgumentException if the part is no such value
   */
  public static <T> T readOptional(JsonNode part, Class<T> type) {
    try {
      return part.isMissingNode() ? null : MAPPER.treeToValue(part, type);
    } catch (JsonProcessingException malformed) {
      throw new IllegalArgumentException("malformed: " + malformed.getMessage(), malformed);
    }
  }
}
