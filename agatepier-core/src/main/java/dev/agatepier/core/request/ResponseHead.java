package dev.agatepier.core.request;

import java.util.List;

/**
 * The head of an upstream's answer.
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
