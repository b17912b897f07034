package dev.agatepier.wire.request.internal;

import io.netty.handler.codec.http.HttpHeaders;

/** Tells whether the end of an answer can be told from a connection that broke. */
final class ResponseFraming {

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ResponseFraming() {}

  /** Returns false for an answer that ends only by the close of its connection. */
  static boolean isSelfDelimited(String method, int status, HttpHeaders headers) {
    return method.equals("HEAD")
        || status == NO_CONTENT
        || status == NOT_MODIFIED
        || headers.contains("content-length")
        || headers.containsValue("transfer-encoding", "chunked", true);
  }
}
