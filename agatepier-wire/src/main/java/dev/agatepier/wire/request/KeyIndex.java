package dev.agatepier.wire.request;

import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Workspace;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the workspace of a key that does not name it. Keys are looked up by their digest, so that
 * the time taken tells nothing about any key. Used by one thread.
 */
public final class KeyIndex {

  private Table indexed = Table.NONE;
  private Map<String, String> workspaces = Map.of();

  /** Returns the workspace that a key belongs to in a version of the table. */
  public Optional<String> workspace(Table table, String key) {
    if (table != indexed) {
      index(table);
    }
    return Optional.ofNullable(workspaces.get(digest(key)));
  }

  /** Returns the digest by which tables hold a key. */
  public static String digest(String key) {
    return Digests.of(key.getBytes(StandardCharsets.UTF_8));
  }

  private void index(Table table) {
    Map<String, String> byDigest = new HashMap<>();
    for (Workspace workspace : table.workspaces().values()) {
      workspace.keyDigests().forEach(digest -> byDigest.put(digest, workspace.name()));
    }
    indexed = table;
    workspaces = byDigest;
  }
}
