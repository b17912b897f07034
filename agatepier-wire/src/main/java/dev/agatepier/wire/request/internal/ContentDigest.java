package dev.agatepier.wire.request.internal;

import dev.agatepier.core.request.Bytes;
import dev.agatepier.core.request.CallHead;
import dev.agatepier.wire.request.Digests;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;

/** Computes the digest that identifies the content of a request across retries. */
public final class ContentDigest {

  private ContentDigest() {}

  /** Returns the SHA-256 digest of method, path and body, in lower-case hexadecimal. */
  public static String of(CallHead head, Bytes body) {
    MessageDigest digest = Digests.sha256();
    digest.update(head.method().getBytes(StandardCharsets.UTF_8));
    digest.update((byte) '\n');
    digest.update(head.path().getBytes(StandardCharsets.UTF_8));
    digest.update((byte) '\n');
    return HexFormat.of().formatHex(digest.digest(body.array()));
  }
}
