package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import dev.agatepier.cli.process.SettingsMistake;
import dev.agatepier.core.version.TableBounds;
import dev.agatepier.wire.process.Endpoint;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Reads the fields of one JSON object; a bad field is noted and gives a harmless value. */
final class ObjectReader {

  private static final int HIGHEST_PORT = 65_535;

  private final JsonNode node;
  private final String path;
  private final List<SettingsMistake> mistakes;
  private final Set<String> known = new HashSet<>();

  ObjectReader(JsonNode node, String path, List<SettingsMistake> mistakes) {
    this.node = node;
    this.path = path;
    this.mistakes = mistakes;
  }

  boolean has(String field) {
    known.add(field);
    return node.has(field);
  }

  void addMistake(String field, String reason) {
    mistakes.add(new SettingsMistake(field.isEmpty() ? path : path + "." + field, reason));
  }

  /** Reads an object that must be there. */
  ObjectReader object(String field) {
    return objectOf(field, required(field));
  }

  /** Reads an object that may be missing. */
  Optional<ObjectReader> optionalObject(String field) {
    return has(field) ? Optional.of(objectOf(field, node.get(field))) : Optional.empty();
  }

  private ObjectReader objectOf(String field, JsonNode value) {
    if (value != null && !value.isObject()) {
      addMistake(field, "must be an object");
    }
    boolean usable = value != null && value.isObject();
    return usable
        ? new ObjectReader(value, path + "." + field, mistakes)
        : new ObjectReader(
            JsonNodeFactory.instance.objectNode(), path + "." + field, new IgnoredMistakes());
  }

  String text(String field) {
    JsonNode value = required(field);
    if (value == null) {
      return "";
    }
    if (!value.isTextual() || value.textValue().isBlank()) {
      addMistake(field, "must be a text that is not empty");
      return "";
    }
    return value.textValue();
  }

  /** Reads a name that the table or the instance list could hold too. */
  String name(String field) {
    String text = text(field);
    if (!text.isEmpty() && !TableBounds.isValidName(text)) {
      addMistake(field, "must be a name of 1 to 63 of a-z, 0-9, '.', '-' and '_'");
    }
    return text;
  }

  /** Reads an IP number and a port, in one field or in two. */
  Endpoint endpoint() {
    if (!has("listen")) {
      return new Endpoint(address("address"), integer("port", 0, HIGHEST_PORT));
    }
    return endpoint("listen", text("listen"));
  }

  private Endpoint endpoint(String place, String text) {
    int colon = text.lastIndexOf(':');
    String port = text.substring(colon + 1);
    if (colon < 1 || !soundAddress(text.substring(0, colon)) || !soundPort(port)) {
      addMistake(place, "must be an IP number, a colon and a port");
      return new Endpoint("", 0);
    }
    return new Endpoint(text.substring(0, colon), Integer.parseInt(port));
  }

  /** Reads a list of addresses, each an IP number, a colon and a port; it may be missing. */
  List<Endpoint> optionalEndpoints(String field) {
    List<Endpoint> endpoints = new ArrayList<>();
    if (!has(field)) {
      return endpoints;
    }
    if (!node.get(field).isArray()) {
      addMistake(field, "must be a list");
      return endpoints;
    }
    int index = 0;
    for (JsonNode entry : node.get(field)) {
      endpoints.add(endpoint(field + "[" + index++ + "]", entry.asText()));
    }
    return endpoints;
  }

  private static boolean soundPort(String text) {
    return text.matches("[0-9]{1,5}") && Integer.parseInt(text) <= HIGHEST_PORT;
  }

  private String address(String field) {
    String text = text(field);
    if (!text.isEmpty() && !soundAddress(text)) {
      addMistake(field, "must be an IP number");
    }
    return text;
  }

  private static boolean soundAddress(String text) {
    try {
      InetAddress.ofLiteral(text);
      return true;
    } catch (IllegalArgumentException notNumber) {
      return false;
    }
  }

  int integer(String field, int minimum, int maximum) {
    JsonNode value = required(field);
    return value == null ? minimum : (int) integerInRange(field, value, minimum, maximum, minimum);
  }

  int optionalInteger(String field, int minimum, int maximum, int fallback) {
    return has(field)
        ? (int) integerInRange(field, node.get(field), minimum, maximum, fallback)
        : fallback;
  }

  long integerInRange(String field, JsonNode value, long minimum, long maximum, long fallback) {
    if (!value.isIntegralNumber()) {
      addMistake(field, "must be a whole number, without quotes or unit");
      return fallback;
    }
    if (!value.canConvertToLong() || value.longValue() < minimum || value.longValue() > maximum) {
      addMistake(field, "must be from " + minimum + " to " + maximum);
      return fallback;
    }
    return value.longValue();
  }

  JsonNode value(String field) {
    return node.get(field);
  }

  /** Notes every field that was not asked for. */
  void checkUnknownFields() {
    node.fieldNames()
        .forEachRemaining(
            field -> {
              if (!known.contains(field)) {
                addMistake(field, "is not a known field");
              }
            });
  }

  private JsonNode required(String field) {
    if (!has(field)) {
      addMistake(field, "is missing");
      return null;
    }
    return node.get(field);
  }
}
