package dev.agatepier.wire.request.internal;

import dev.agatepier.core.request.Reason;
import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Workspace;
import dev.agatepier.wire.request.CallRejectedException;
import dev.agatepier.wire.request.Digests;
import dev.agatepier.wire.request.ReasonText;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/** Finds the workspace that a caller's key belongs to, with the same work for every key. */
public final class KeyAuthenticator {

  private static final String SCHEME = "Bearer ";

  /** Stands in for the digests of a workspace that the table does not have. */
  private static final List<String> NO_DIGESTS = List.of("00".repeat(Digests.SHA256_BYTES));

  private KeyAuthenticator() {}

  /**
   * Returns the workspace; fails with {@link CallRejectedException} if the key does not belong to
   * one.
   */
  public static Workspace authenticate(Table table, List<String> authorizations) {
    String key = key(authorizations);
    int colon = key.indexOf(':');
    Optional<Workspace> workspace = table.workspace(key.substring(0, Math.max(colon, 0)));
    byte[] digest = Digests.sha256().digest(key.getBytes(StandardCharsets.UTF_8));
    byte[] actual = HexFormat.of().formatHex(digest).getBytes(StandardCharsets.US_ASCII);
    boolean equal = false;
    for (String expected : workspace.map(Workspace::keyDigests).orElse(NO_DIGESTS)) {
      equal |= MessageDigest.isEqual(actual, expected.getBytes(StandardCharsets.US_ASCII));
    }
    if (!equal || workspace.isEmpty()) {
      throw new CallRejectedException(Reason.KEY_WRONG, ReasonText.of(Reason.KEY_WRONG));
    }
    return workspace.get();
  }

  private static String key(List<String> authorizations) {
    if (authorizations.size() != 1
        || !authorizations.getFirst().regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
      throw new CallRejectedException(Reason.KEY_MISSING, ReasonText.of(Reason.KEY_MISSING));
    }
    return authorizations.getFirst().substring(SCHEME.length()).strip();
  }
}
