package dev.agatepier.core.request;

import java.util.List;
import java.util.Objects;

/**
 * The head of a caller's request as the upstream receives it.
 *
 * @param method HTTP method, upper case
 * @param path path and query below the service, starting with a slash
 * @param headers end-to-end header fields, without credentials
 */
public record CallHead(String method, String path, List<Header> headers) {

  /** Checks the parts and copies the headers. */
  public CallHead {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    headers = List.copyOf(headers);
  }
}
