package dev.agatepier.wire.request.internal;

import io.netty.handler.codec.http.HttpHeaders;

/** Checks whether a truncated response can be distinguished from a complete one. */
final class ResponseFraming {

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ResponseFraming() {}

  /** Returns false for a response whose end is marked only by the close of the connection. */
  static boolean isSelfDelimited(String method, int status, HttpHeaders headers) {
    return method.equals("HEAD")
        || status == NO_CONTENT
        || status == NOT_MODIFIED
        || headers.contains("content-length")
        || headers.containsValue("transfer-encoding", "chunked", true);
  }
}
