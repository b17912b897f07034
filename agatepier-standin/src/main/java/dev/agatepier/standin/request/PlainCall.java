package dev.agatepier.standin.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Objects;

/**
 * A call of a plain service. The response is a function of the call, so that tests can recompute
 * it.
 *
 * @param method HTTP method
 * @param path path with query
 * @param order value of the field {@code order} of the body; empty for none
 * @param bodyDigest lower-case hexadecimal SHA-256 of the body
 */
public record PlainCall(String method, String path, String order, String bodyDigest) {

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Rejects null components. */
  public PlainCall {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(order, "order");
    Objects.requireNonNull(bodyDigest, "bodyDigest");
  }

  /** Creates a call from a request; a body that is not JSON has no order. */
  public static PlainCall of(String method, String path, byte[] body) {
    return new PlainCall(method, path, order(body), Digests.sha256(body));
  }

  /** Returns the response body. */
  public String responseBody() {
    return JSON.createObjectNode()
        .put("method", method)
        .put("path", path)
        .put("order", order)
        .put("bodyDigest", bodyDigest)
        .toString();
  }

  private static String order(byte[] body) {
    try {
      JsonNode root = JSON.readTree(body);
      return root == null ? "" : root.path("order").asText("");
    } catch (IOException notJson) {
      return "";
    }
  }
}
