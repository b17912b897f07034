package dev.agatepier.standin.request;

import dev.agatepier.core.version.ServiceKind;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * A call of a service, whose expected response can be computed.
 *
 * @param kind kind of the service: model or plain
 * @param service name of the service
 * @param method HTTP method
 * @param path path at the upstream, with the leading slash and the query
 * @param body the body; empty for none
 */
public record ServiceCall(
    ServiceKind kind, String service, String method, String path, String body) {

  /** Rejects null components. */
  public ServiceCall {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(body, "body");
  }

  /**
   * Returns a call of a model; the response has {@code stopAfter} tokens, if within the maximum.
   */
  public static ServiceCall model(
      String service, String prompt, int maximumTokens, int stopAfter, boolean stream) {
    String body =
        "{\"prompt\":\"%s\",\"max_tokens\":%d,\"stop_after\":%d,\"stream\":%b}"
            .formatted(prompt, maximumTokens, stopAfter, stream);
    return new ServiceCall(ServiceKind.MODEL, service, "POST", "/v1/chat/completions", body);
  }

  /** Returns an idempotent read of a plain service. */
  public static ServiceCall read(String service, String path) {
    return new ServiceCall(ServiceKind.PLAIN, service, "GET", path, "");
  }

  /** Returns an order at a plain service, which is not idempotent. */
  public static ServiceCall order(String service, String path, String order) {
    return new ServiceCall(
        ServiceKind.PLAIN, service, "POST", path, "{\"order\":\"" + order + "\"}");
  }

  /** Returns the complete response body of an upstream stand-in. */
  public String expectedResponseBody() {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    return kind == ServiceKind.MODEL
        ? ModelCall.parse(content).responseBody()
        : PlainCall.of(method, path, content).responseBody();
  }

  /** Returns the cost of the call: prompt and completion tokens of a model, 1 for a plain call. */
  public long cost() {
    if (kind == ServiceKind.PLAIN) {
      return 1;
    }
    ModelCall call = ModelCall.parse(body.getBytes(StandardCharsets.UTF_8));
    return call.promptWords().size() + call.completionTokens();
  }
}
