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
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * Reads the fields of a JSON object. An invalid field adds a mistake and yields a default value.
 */
final class ObjectReader {

  private static final int HIGHEST_PORT = 65_535;

  private final JsonNode node;
  private final String path;
  private final List<SettingsMistake> mistakes;
  private final Set<String> fieldsRead = new HashSet<>();

  ObjectReader(JsonNode node, String path, List<SettingsMistake> mistakes) {
    this.node = node;
    this.path = path;
    this.mistakes = mistakes;
  }

  boolean has(String field) {
    fieldsRead.add(field);
    return node.has(field);
  }

  void addMistake(String field, String reason) {
    mistakes.add(new SettingsMistake(field.isEmpty() ? path : path + "." + field, reason));
  }

  /** Reads a required object. */
  ObjectReader object(String field) {
    return readObject(field, requiredField(field));
  }

  /** Reads an optional object; empty if the field is missing. */
  Optional<ObjectReader> optionalObject(String field) {
    return has(field) ? Optional.of(readObject(field, node.get(field))) : Optional.empty();
  }

  private ObjectReader readObject(String field, JsonNode value) {
    if (value != null && !value.isObject()) {
      addMistake(field, "must be an object");
    }
    boolean valid = value != null && value.isObject();
    return valid
        ? new ObjectReader(value, path + "." + field, mistakes)
        : new ObjectReader(
            JsonNodeFactory.instance.objectNode(), path + "." + field, new IgnoredMistakes());
  }

  String text(String field) {
    JsonNode value = requiredField(field);
    if (value == null) {
      return "";
    }
    if (!value.isTextual() || value.textValue().isBlank()) {
      addMistake(field, "must be a non-empty string");
      return "";
    }
    return value.textValue();
  }

  /** Reads a name that is also valid in the table and in the instance list. */
  String name(String field) {
    String text = text(field);
    if (!text.isEmpty() && !TableBounds.isValidName(text)) {
      addMistake(field, "must be a name of 1 to 63 characters of a-z, 0-9, '.', '-' and '_'");
    }
    return text;
  }

  /** Reads every field of this object as a name. */
  Map<String, String> names() {
    Map<String, String> names = new TreeMap<>();
    node.fieldNames().forEachRemaining(field -> names.put(field, name(field)));
    return names;
  }

  /** Reads an IP address and a port, from the field listen or from the fields address and port. */
  Endpoint endpoint() {
    if (!has("listen")) {
      return new Endpoint(ipAddress("address"), integer("port", 0, HIGHEST_PORT));
    }
    return parseEndpoint("listen", text("listen"));
  }

  private Endpoint parseEndpoint(String field, String text) {
    int colon = text.lastIndexOf(':');
    String port = text.substring(colon + 1);
    if (colon < 1 || !isIpAddress(text.substring(0, colon)) || !isValidPort(port)) {
      addMistake(field, "must be an IP address, a colon and a port");
      return new Endpoint("", 0);
    }
    return new Endpoint(text.substring(0, colon), Integer.parseInt(port));
  }

  /** Reads an optional list of endpoints, each an IP address, a colon and a port. */
  List<Endpoint> optionalEndpoints(String field) {
    List<Endpoint> endpoints = new ArrayList<>();
    if (!has(field)) {
      return endpoints;
    }
    if (!node.get(field).isArray()) {
      addMistake(field, "must be an array");
      return endpoints;
    }
    int index = 0;
    for (JsonNode entry : node.get(field)) {
      endpoints.add(parseEndpoint(field + "[" + index++ + "]", entry.asText()));
    }
    return endpoints;
  }

  private static boolean isValidPort(String text) {
    return text.matches("[0-9]{1,5}") && Integer.parseInt(text) <= HIGHEST_PORT;
  }

  private String ipAddress(String field) {
    String text = text(field);
    if (!text.isEmpty() && !isIpAddress(text)) {
      addMistake(field, "must be an IP address");
    }
    return text;
  }

  private static boolean isIpAddress(String text) {
    try {
      InetAddress.ofLiteral(text);
      return true;
    } catch (IllegalArgumentException notAddress) {
      return false;
    }
  }

  int integer(String field, int minimum, int maximum) {
    JsonNode value = requiredField(field);
    return value == null ? minimum : (int) integerInRange(field, value, minimum, maximum, minimum);
  }

  int optionalInteger(String field, int minimum, int maximum, int fallback) {
    return has(field)
        ? (int) integerInRange(field, node.get(field), minimum, maximum, fallback)
        : fallback;
  }

  long integerInRange(String field, JsonNode value, long minimum, long maximum, long fallback) {
    if (!value.isIntegralNumber()) {
      addMistake(field, "must be an integer, without quotes or unit");
      return fallback;
    }
    if (!value.canConvertToLong() || value.longValue() < minimum || value.longValue() > maximum) {
      addMistake(field, "must be from " + minimum + " to " + maximum + ", but is " + value);
      return fallback;
    }
    return value.longValue();
  }

  JsonNode value(String field) {
    return node.get(field);
  }

  /** Adds a mistake for each field that was never read. */
  void checkUnknownFields() {
    node.fieldNames()
        .forEachRemaining(
            field -> {
              if (!fieldsRead.contains(field)) {
                addMistake(field, "is not a known field");
              }
            });
  }

  private JsonNode requiredField(String field) {
    if (!has(field)) {
      addMistake(field, "is missing");
      return null;
    }
    return node.get(field);
  }
}
