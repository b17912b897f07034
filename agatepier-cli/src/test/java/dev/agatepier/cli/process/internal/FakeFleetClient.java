package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Processes that respond to every call with the JSON set for them; {@code null} if unreachable. */
final class FakeFleetClient implements FleetClient {

  final Map<String, Object> responses = new LinkedHashMap<>();
  final List<String> calls = new ArrayList<>();

  @Override
  public List<Target> targets() {
    return responses.keySet().stream()
        .map(name -> new Target(name, name.substring(0, name.indexOf('/')), "127.0.0.1", 1))
        .toList();
  }

  @Override
  public CompletableFuture<Optional<Response>> call(Target target, String method, String path) {
    calls.add(method + " " + path);
    return CompletableFuture.completedFuture(
        Optional.ofNullable(responses.get(target.name()))
            .map(body -> new Response(200, new ObjectMapper().valueToTree(body))));
  }
}
