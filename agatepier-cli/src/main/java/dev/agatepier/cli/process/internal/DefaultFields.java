package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/** Adds fields to settings that do not state them. */
final class DefaultFields {

  private DefaultFields() {}

  /**
   * Adds the fields that are missing and returns the settings.
   *
   * @param fields value of each field, in JSON, by its path of names separated by dots
   * @param settings the settings, an object
   */
  static JsonNode add(Map<String, String> fields, JsonNode settings) {
    fields.forEach((path, value) -> add(path, parse(path, value), (ObjectNode) settings));
    return settings;
  }

  private static void add(String path, JsonNode value, ObjectNode settings) {
    String[] names = path.split("\\.");
    ObjectNode object = settings;
    for (int index = 0; index < names.length - 1; index++) {
      if (!object.has(names[index])) {
        object.putObject(names[index]);
      }
      if (!(object.get(names[index]) instanceof ObjectNode inner)) {
        return; // The reader of the settings reports the field.
      }
      object = inner;
    }
    object.putIfAbsent(names[names.length - 1], value);
  }

  private static JsonNode parse(String path, String value) {
    try {
      return SettingsParser.MAPPER.readTree(value);
    } catch (JsonProcessingException malformed) {
      throw SettingsParser.settingsException(
          "the default of " + path + " is not valid JSON: " + value);
    }
  }
}
