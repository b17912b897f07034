package dev.agatepier.wire.version.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.agatepier.core.connection.Role;
import dev.agatepier.core.connection.VersionMessage.ManifestTransfer;
import dev.agatepier.core.connection.VersionMessage.PageReference;
import dev.agatepier.core.version.Instance;
import dev.agatepier.core.version.InstanceList;
import dev.agatepier.wire.version.PlatformException;
import dev.agatepier.wire.version.TableReader;
import java.util.ArrayList;
import java.util.List;

/** Decodes the platform's JSON responses; invalid ones fail with {@link PlatformException}. */
public final class PlatformJson {

  private static final int MAXIMUM_PAGES = 256;
  private static final int MAXIMUM_INSTANCES = 50_000;
  private static final int HIGHEST_PORT = 65_535;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private PlatformJson() {}

  /** Decodes a manifest and keeps the order of its pages, in which workspaces pages are first. */
  public static ManifestTransfer parseManifest(String text) {
    JsonNode root = parse(text);
    List<PageReference> pages = new ArrayList<>();
    for (JsonNode page : requireList(root, "pages", MAXIMUM_PAGES)) {
      int size = (int) requireNumber(page, "size", 0, TableReader.MAXIMUM_PAGE_BYTES);
      String name = requireText(page, "name");
      String digest = requireText(page, "digest");
      if (!name.matches("[A-Za-z0-9._-]{1,128}") || !digest.matches("[0-9a-f]{64}")) {
        throw new PlatformException("a page of the manifest has an invalid name or digest");
      }
      pages.add(new PageReference(name, digest, size));
    }
    return new ManifestTransfer(requireNumber(root, "version", 0, Long.MAX_VALUE), pages);
  }

  /** Decodes an instance list of the format that the platform publishes. */
  public static InstanceList parseInstances(String text) {
    JsonNode root = parse(text);
    List<Instance> instances = new ArrayList<>();
    for (JsonNode node : requireList(root, "instances", MAXIMUM_INSTANCES)) {
      instances.add(parseInstance(node));
    }
    return new InstanceList(requireNumber(root, "version", 0, Long.MAX_VALUE), instances);
  }

  private static Instance parseInstance(JsonNode node) {
    return new Instance(
        requireText(node, "name"),
        parseRole(requireText(node, "role")),
        requireText(node, "address"),
        (int) requireNumber(node, "port", 1, HIGHEST_PORT),
        (int) requireNumber(node, "administrationPort", 1, HIGHEST_PORT),
        requireText(node, "dataCentre"),
        requireText(node, "region"),
        node.path("service").asText(""),
        node.path("leaving").asBoolean(false));
  }

  private static Role parseRole(String text) {
    return switch (text) {
      case "router" -> Role.ROUTER;
      case "sidecar" -> Role.SIDECAR;
      default -> throw new PlatformException("an instance has the unknown role '" + text + "'");
    };
  }

  private static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException failure) {
      throw new PlatformException("the platform's response is not JSON", failure);
    }
  }

  private static JsonNode requireList(JsonNode node, String field, int maximum) {
    JsonNode list = node.path(field);
    if (!list.isArray() || list.size() > maximum) {
      throw new PlatformException(field + " must be a list of at most " + maximum + " elements");
    }
    return list;
  }

  private static String requireText(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw new PlatformException(field + " must be a non-empty string");
    }
    return value.textValue();
  }

  private static long requireNumber(JsonNode node, String field, long minimum, long maximum) {
    JsonNode value = node.path(field);
    if (!value.canConvertToExactIntegral() || !value.canConvertToLong()) {
      throw new PlatformException(field + " must be a whole number");
    }
    long number = value.longValue();
    if (number < minimum || number > maximum) {
      throw new PlatformException(
          field + " must be from " + minimum + " to " + maximum + ", but is " + number);
    }
    return number;
  }
}
