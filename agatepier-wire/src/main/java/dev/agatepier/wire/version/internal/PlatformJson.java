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

/** Decodes the platform's JSON answers. */
public final class PlatformJson {

  private static final int MAXIMUM_PAGES = 256;
  private static final int MAXIMUM_INSTANCES = 50_000;
  private static final int HIGHEST_PORT = 65_535;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private PlatformJson() {}

  /** Decodes a manifest; workspaces pages come first. */
  public static ManifestTransfer parseManifest(String text) {
    JsonNode root = parse(text);
    List<PageReference> pages = new ArrayList<>();
    for (JsonNode page : list(root, "pages", MAXIMUM_PAGES)) {
      int size = (int) number(page, "size", 0, TableReader.MAXIMUM_PAGE_BYTES);
      String name = text(page, "name");
      String digest = text(page, "digest");
      if (!name.matches("[A-Za-z0-9._-]{1,128}") || !digest.matches("[0-9a-f]{64}")) {
        throw new PlatformException("a page of the manifest has a bad name or digest");
      }
      pages.add(new PageReference(name, digest, size));
    }
    return new ManifestTransfer(number(root, "version", 0, Long.MAX_VALUE), pages);
  }

  /** Decodes an instance list. */
  public static InstanceList parseInstances(String text) {
    JsonNode root = parse(text);
    List<Instance> instances = new ArrayList<>();
    for (JsonNode node : list(root, "instances", MAXIMUM_INSTANCES)) {
      instances.add(instance(node));
    }
    return new InstanceList(number(root, "version", 0, Long.MAX_VALUE), instances);
  }

  private static Instance instance(JsonNode node) {
    return new Instance(
        text(node, "name"),
        role(text(node, "role")),
        text(node, "address"),
        (int) number(node, "port", 1, HIGHEST_PORT),
        (int) number(node, "administrationPort", 1, HIGHEST_PORT),
        text(node, "dataCentre"),
        text(node, "region"),
        node.path("service").asText(""),
        node.path("leaving").asBoolean(false));
  }

  private static Role role(String text) {
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
      throw new PlatformException("the platform's answer is not JSON", failure);
    }
  }

  private static JsonNode list(JsonNode node, String field, int maximum) {
    JsonNode list = node.path(field);
    if (!list.isArray() || list.size() > maximum) {
      throw new PlatformException(field + " is not a list of at most " + maximum);
    }
    return list;
  }

  private static String text(JsonNode node, String field) {
    JsonNode value = node.path(field);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw new PlatformException("the text " + field + " is missing");
    }
    return value.textValue();
  }

  private static long number(JsonNode node, String field, long minimum, long maximum) {
    JsonNode value = node.path(field);
    if (!value.canConvertToExactIntegral() || !value.canConvertToLong()) {
      throw new PlatformException("the whole number " + field + " is missing");
    }
    long number = value.longValue();
    if (number < minimum || number > maximum) {
      throw new PlatformException(field + " is not from " + minimum + " to " + maximum);
    }
    return number;
  }
}
