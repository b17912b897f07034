package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.agatepier.core.version.ReadTimestamp;
import dev.agatepier.wire.process.Secret;
import dev.agatepier.wire.version.BodyReader;
import dev.agatepier.wire.version.Platform;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/** Calls processes over HTTP; a process that does not respond in time counts as unreachable. */
public final class HttpFleetClient implements FleetClient {

  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final int MAXIMUM_RESPONSE_BYTES = 16_777_216;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final HttpClient client;
  private final Secret key;
  private final List<Target> addresses;
  private final Optional<Platform> platform;
  private final List<String> selectedNames;

  /**
   * Creates the client.
   *
   * @param client HTTP client to send requests with
   * @param key key of the administration API
   * @param addresses processes that were given by address; used without a platform
   * @param platform platform whose instance list replaces the addresses
   * @param selectedNames names of the instances to call; empty for all
   */
  public HttpFleetClient(
      HttpClient client,
      Secret key,
      List<Target> addresses,
      Optional<Platform> platform,
      List<String> selectedNames) {
    this.client = client;
    this.key = key;
    this.addresses = List.copyOf(addresses);
    this.platform = platform;
    this.selectedNames = List.copyOf(selectedNames);
  }

  @Override
  public List<Target> targets() {
    return platform.map(HttpFleetClient::listTargets).orElse(addresses).stream()
        .filter(target -> selectedNames.isEmpty() || selectedNames.contains(target.name()))
        .toList();
  }

  private static List<Target> listTargets(Platform platform) {
    return platform
        .instances(0, 0, ReadTimestamp.UNTIMED)
        .join()
        .newer()
        .orElseThrow()
        .instances()
        .stream()
        .map(
            instance ->
                new Target(
                    instance.name(),
                    instance.dataCentre(),
                    instance.address(),
                    instance.administrationPort()))
        .toList();
  }

  @Override
  public CompletableFuture<Optional<Response>> call(Target target, String method, String path) {
    String host = target.address().contains(":") ? "[" + target.address() + "]" : target.address();
    return client
        .headers(headers -> headers.set("Authorization", "Bearer " + key.value()))
        .request(HttpMethod.valueOf(method))
        .uri("http://" + host + ":" + target.port() + path)
        .response(
            (response, content) ->
                BodyReader.read(content, MAXIMUM_RESPONSE_BYTES)
                    .map(body -> new Response(response.status().code(), parse(body.text()))))
        .next()
        .timeout(TIMEOUT)
        .map(Optional::of)
        .onErrorResume(failure -> Mono.just(Optional.empty()))
        .toFuture();
  }

  private static JsonNode parse(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException notJson) {
      return MAPPER.missingNode();
    }
  }
}
