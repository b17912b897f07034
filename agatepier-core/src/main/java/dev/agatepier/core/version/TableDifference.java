package dev.agatepier.core.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * What differs between two versions of the table.
 *
 * @param changes one entry for each row that differs, workspaces first, by name
 */
public record TableDifference(List<Change> changes) {

  /** What happened to a row. */
  public enum Kind {
    ADDED,
    REMOVED,
    CHANGED
  }

  /**
   * One row that differs.
   *
   * @param file {@code workspaces} or {@code services}
   * @param name name of the row
   * @param kind what happened to it
   * @param before the row before; empty if it was added
   * @param after the row after; empty if it was removed
   */
  public record Change(String file, String name, Kind kind, String before, String after) {}

  /** Copies the changes. */
  public TableDifference {
    changes = List.copyOf(changes);
  }

  /** Compares two versions. */
  public static TableDifference between(Table before, Table after) {
    List<Change> changes = new ArrayList<>();
    compare(TablePage.WORKSPACES_PREFIX, before.workspaces(), after.workspaces(), changes);
    compare(TablePage.SERVICES_PREFIX, before.services(), after.services(), changes);
    return new TableDifference(changes);
  }

  private static <R> void compare(
      String file, Map<String, R> before, Map<String, R> after, List<Change> changes) {
    TreeSet<String> names = new TreeSet<>(before.keySet());
    names.addAll(after.keySet());
    for (String name : names) {
      R old = before.get(name);
      R current = after.get(name);
      if (old == null) {
        changes.add(new Change(file, name, Kind.ADDED, "", current.toString()));
      } else if (current == null) {
        changes.add(new Change(file, name, Kind.REMOVED, old.toString(), ""));
      } else if (!old.equals(current)) {
        changes.add(new Change(file, name, Kind.CHANGED, old.toString(), current.toString()));
      }
    }
  }
}
