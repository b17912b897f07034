package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.agatepier.cli.process.SettingsDefaults;
import dev.agatepier.cli.process.SettingsException;
import dev.agatepier.cli.process.SettingsMistake;
import dev.agatepier.core.process.RouterPolicy;
import dev.agatepier.core.process.SidecarPolicy;
import dev.agatepier.core.process.SlotAllocatorPolicy;
import dev.agatepier.core.process.VersionPolicy;
import dev.agatepier.core.version.DataCentreRegions;
import dev.agatepier.wire.process.CommonSettings;
import dev.agatepier.wire.process.Endpoint;
import dev.agatepier.wire.process.LimitSettings;
import dev.agatepier.wire.process.ProcessorSettings;
import dev.agatepier.wire.process.RouterSettings;
import dev.agatepier.wire.process.Secret;
import dev.agatepier.wire.process.SidecarSettings;
import dev.agatepier.wire.process.StopSettings;
import dev.agatepier.wire.process.TlsSettings;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** Parses a settings file and collects its mistakes. */
public final class SettingsParser {

  private static final int DEFAULT_HEARTBEAT_MILLIS = 500;
  private static final int LONGEST_HEARTBEAT_MILLIS = 60_000;

  static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private final ObjectReader root;
  private final SecretFiles files;
  private final ProcessorSettings processor;

  private SettingsParser(ObjectReader root, SecretFiles files, ProcessorSettings processor) {
    this.root = root;
    this.files = files;
    this.processor = processor;
  }

  /**
   * Reads a file as the settings of a program; throws {@link SettingsException} with all mistakes.
   *
   * @param defaults values that the file doesn't state
   */
  public static <S> S read(
      Path file, SettingsDefaults defaults, Function<SettingsParser, S> program) {
    List<SettingsMistake> mistakes = new ArrayList<>();
    ObjectReader root =
        new ObjectReader(DefaultFields.add(defaults.fields(), parse(file)), "$", mistakes);
    Path folder = file.toAbsolutePath().getParent();
    S settings =
        program.apply(new SettingsParser(root, new SecretFiles(folder), defaults.processor()));
    root.checkUnknownFields();
    if (!mistakes.isEmpty()) {
      throw new SettingsException(mistakes);
    }
    return settings;
  }

  private static JsonNode parse(Path file) {
    try {
      JsonNode node = MAPPER.readTree(Files.readAllBytes(file));
      if (node.isObject()) {
        return node;
      }
      throw settingsException("must be an object");
    } catch (JsonProcessingException failure) {
      JsonLocation location = failure.getLocation();
      String position =
          location == null
              ? ""
              : "line " + location.getLineNr() + ", column " + location.getColumnNr();
      throw settingsException(
          "is not valid JSON (" + position + "): " + failure.getOriginalMessage());
    } catch (IOException failure) {
      throw settingsException("the file cannot be read");
    }
  }

  static SettingsException settingsException(String reason) {
    return new SettingsException(List.of(new SettingsMistake("$", reason)));
  }

  /** Parses the settings of a router. */
  public RouterSettings parseRouter() {
    CommonSettings common = common();
    return new RouterSettings(
        common,
        endpoint("callers"),
        policy("policy", RouterPolicy.class, RouterPolicy.DEFAULT),
        policy("slots", SlotAllocatorPolicy.class, SlotAllocatorPolicy.DEFAULT),
        root.optionalObject("readiness").map(SettingsParser::endpoint),
        new DataCentreRegions(
            root.optionalObject("regions").map(ObjectReader::names).orElse(Map.of())));
  }

  /** Parses the settings of a sidecar. */
  public SidecarSettings parseSidecar() {
    CommonSettings common = common();
    return new SidecarSettings(
        common,
        root.name("service"),
        endpoint("upstream"),
        policy("policy", SidecarPolicy.class, SidecarPolicy.DEFAULT));
  }

  private CommonSettings common() {
    ObjectReader links = root.object("links");
    final Endpoint linksEndpoint = links.endpoint();
    final int heartbeatMillis =
        links.optionalInteger(
            "heartbeatMillis", 1, LONGEST_HEARTBEAT_MILLIS, DEFAULT_HEARTBEAT_MILLIS);
    final List<Endpoint> seeds = links.optionalEndpoints("seeds");
    links.checkUnknownFields();
    ObjectReader administration = root.object("administration");
    final Endpoint administrationEndpoint = administration.endpoint();
    final Secret key = files.secret(administration, "key", "keyFile");
    administration.checkUnknownFields();
    final Optional<Endpoint> metrics = root.optionalObject("metrics").map(SettingsParser::endpoint);
    ObjectReader security = root.object("security");
    final Secret secret = files.secret(security, "secret", "secretFile");
    final Optional<TlsSettings> tls = security.optionalObject("tls").map(this::tls);
    security.checkUnknownFields();
    return new CommonSettings(
        root.name("instance"),
        root.name("dataCentre"),
        root.name("region"),
        policy("processor", ProcessorSettings.class, processor),
        linksEndpoint,
        seeds,
        heartbeatMillis,
        administrationEndpoint,
        key,
        metrics,
        platform(),
        secret,
        tls,
        policy("limits", LimitSettings.class, LimitSettings.DEFAULT),
        policy("versions", VersionPolicy.class, VersionPolicy.DEFAULT),
        policy("stop", StopSettings.class, StopSettings.DEFAULT));
  }

  private Endpoint endpoint(String field) {
    return endpoint(root.object(field));
  }

  private static Endpoint endpoint(ObjectReader object) {
    Endpoint endpoint = object.endpoint();
    object.checkUnknownFields();
    return endpoint;
  }

  private String platform() {
    ObjectReader object = root.object("platform");
    String address = object.text("address");
    object.checkUnknownFields();
    if (!address.isEmpty() && !isBaseUrl(address)) {
      object.addMistake("address", "must be http:// or https:// with an IP address and a port");
    }
    return address;
  }

  private static boolean isBaseUrl(String address) {
    try {
      URI uri = URI.create(address);
      boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
      return http && uri.getHost() != null && uri.getPort() > 0 && uri.getPath().isEmpty();
    } catch (IllegalArgumentException notUri) {
      return false;
    }
  }

  private TlsSettings tls(ObjectReader object) {
    TlsSettings tls =
        new TlsSettings(
            files.readableFile(object, "certificateFile"),
            files.readableFile(object, "keyFile"),
            files.readableFile(object, "trustFile"));
    object.checkUnknownFields();
    return tls;
  }

  private <R extends Record> R policy(String field, Class<R> type, R defaults) {
    Optional<ObjectReader> object = root.optionalObject(field);
    R policy = object.map(found -> PolicyReader.read(found, type, defaults)).orElse(defaults);
    object.ifPresent(ObjectReader::checkUnknownFields);
    return policy;
  }
}
