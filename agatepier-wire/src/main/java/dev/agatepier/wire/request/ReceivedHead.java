package dev.agatepier.wire.request;

import dev.agatepier.core.request.Header;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Head of a request as a caller sent it.
 *
 * @param method HTTP method
 * @param target path and query
 * @param headers header fields in order, names in lower case
 */
public record ReceivedHead(String method, String target, List<Header> headers) {

  /** Checks the parts and copies the headers. */
  public ReceivedHead {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(target, "target");
    headers = List.copyOf(headers);
  }

  /** Returns the value of the first field of a name, given in lower case. */
  public Optional<String> firstHeader(String name) {
    for (Header header : headers) {
      if (header.name().equals(name)) {
        return Optional.of(header.value());
      }
    }
    return Optional.empty();
  }

  /** Returns the path without the query. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
