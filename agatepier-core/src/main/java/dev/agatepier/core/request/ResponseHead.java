package dev.agatepier.core.request;

import java.util.List;

/**
 * Status and headers of an upstream's HTTP response.
 *
 * @param status HTTP status
 * @param headers end-to-end header fields
 */
public record ResponseHead(int status, List<Header> headers) {

  /** Copies the headers. */
  public ResponseHead {
    headers = List.copyOf(headers);
  }
}
