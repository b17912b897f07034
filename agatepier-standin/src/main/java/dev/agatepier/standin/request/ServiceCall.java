package dev.agatepier.standin.request;

import dev.agatepier.core.version.ServiceKind;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * A call that a caller makes of a service, whose whole answer can be recomputed.
 *
 * @param kind what stands behind the service
 * @param service name of the service
 * @param method HTTP method
 * @param path path at the upstream, with its leading slash and query
 * @param body the body; empty for none
 */
public record ServiceCall(
    ServiceKind kind, String service, String method, String path, String body) {

  /** Checks that every part is present. */
  public ServiceCall {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(body, "body");
  }

  /** Returns a call of a model; the answer has the tokens of {@code stopAfter}. */
  public static ServiceCall model(
      String service, String prompt, int maximumTokens, int stopAfter, boolean stream) {
    String body =
        "{\"prompt\":\"%s\",\"max_tokens\":%d,\"stop_after\":%d,\"stream\":%b}"
            .formatted(prompt, maximumTokens, stopAfter, stream);
    return new ServiceCall(ServiceKind.MODEL, service, "POST", "/v1/chat/completions", body);
  }

  /** Returns a read of a plain service. */
  public static ServiceCall read(String service, String path) {
    return new ServiceCall(ServiceKind.PLAIN, service, "GET", path, "");
  }

  /** Returns an order at a plain service, which may not be repeated. */
  public static ServiceCall order(String service, String path, String order) {
    return new ServiceCall(
        ServiceKind.PLAIN, service, "POST", path, "{\"order\":\"" + order + "\"}");
  }

  /** Returns the whole answer that an upstream stand-in gives. */
  public String expectedResponseBody() {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    return kind == ServiceKind.MODEL
        ? ModelCall.parse(content).responseBody()
        : PlainCall.of(method, path, content).responseBody();
  }

  /** Returns the cost of the whole answer: tokens of a model, one for a plain call. */
  public long cost() {
    if (kind == ServiceKind.PLAIN) {
      return 1;
    }
    ModelCall call = ModelCall.parse(body.getBytes(StandardCharsets.UTF_8));
    return call.promptWords().size() + call.completionTokens();
  }
}
