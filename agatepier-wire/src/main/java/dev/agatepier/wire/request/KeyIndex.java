package dev.agatepier.wire.request;

import dev.agatepier.core.version.Table;
import dev.agatepier.core.version.Workspace;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the workspace of a key that does not contain the workspace's name. Keys are looked up by
 * digest, so that the timing of a lookup reveals nothing about any key. Not thread-safe.
 */
public final class KeyIndex {

  private Table indexedTable = Table.NONE;
  private Map<String, String> workspaceByDigest = Map.of();

  /**
   * Returns the name of the workspace that the key belongs to in the given table. The index is
   * rebuilt when the table is another object than in the previous call.
   */
  public Optional<String> findWorkspace(Table table, String key) {
    if (table != indexedTable) {
      rebuild(table);
    }
    return Optional.ofNullable(workspaceByDigest.get(digest(key)));
  }

  /** Returns the digest under which tables store the key. */
  public static String digest(String key) {
    return Digests.of(key.getBytes(StandardCharsets.UTF_8));
  }

  private void rebuild(Table table) {
    Map<String, String> byDigest = new HashMap<>();
    for (Workspace workspace : table.workspaces().values()) {
      workspace.keyDigests().forEach(digest -> byDigest.put(digest, workspace.name()));
    }
    indexedTable = table;
    workspaceByDigest = byDigest;
  }
}
