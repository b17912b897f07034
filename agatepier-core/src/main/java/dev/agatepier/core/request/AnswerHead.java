package dev.agatepier.core.request;

import java.util.List;

/**
 * The head of an upstream's answer.
 *
 * @param status HTTP status
 * @param headers end-to-end header fields
 */
public record AnswerHead(int status, List<Header> headers) {

  /** Copies the headers. */
  public AnswerHead {
    headers = List.copyOf(headers);
  }
}
