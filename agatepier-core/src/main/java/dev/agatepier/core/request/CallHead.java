package dev.agatepier.core.request;

import java.util.List;
import java.util.Objects;

/**
 * Head of a caller's HTTP request as it is sent to the upstream.
 *
 * @param method HTTP method, upper case
 * @param path path and query relative to the service, starting with a slash
 * @param headers end-to-end header fields, without credentials
 */
public record CallHead(String method, String path, List<Header> headers) {

  /** Rejects null method and path; copies the headers. */
  public CallHead {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    headers = List.copyOf(headers);
  }
}
