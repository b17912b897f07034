package dev.agatepier.core.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Differences between two versions of the table.
 *
 * @param changes one entry for each row that differs: first workspaces, then services, each sorted
 *     by name
 */
public record TableDifference(List<Change> changes) {

  private static final long MILLIS_PER_SECOND = 1_000;

  /** How a row changed. */
  public enum Kind {
    ADDED,
    REMOVED,
    CHANGED
  }

  /**
   * A row that differs.
   *
   * @param file {@code workspaces} or {@code services}
   * @param name name of the row
   * @param kind how the row changed
   * @param before differing cells of the old version; empty if the row was added
   * @param after differing cells of the new version; empty if the row was removed
   */
  public record Change(
      String file, String name, Kind kind, List<String> before, List<String> after) {

    /** Copies the cells. */
    public Change {
      before = List.copyOf(before);
      after = List.copyOf(after);
    }
  }

  /** Copies the changes. */
  public TableDifference {
    changes = List.copyOf(changes);
  }

  /** Compares two versions row by row. */
  public static TableDifference between(Table before, Table after) {
    List<Change> changes = new ArrayList<>();
    compare(
        TablePage.WORKSPACES_PREFIX,
        before.workspaces(),
        after.workspaces(),
        TableDifference::cells,
        changes);
    compare(
        TablePage.SERVICES_PREFIX,
        before.services(),
        after.services(),
        TableDifference::cells,
        changes);
    return new TableDifference(changes);
  }

  private static <R> void compare(
      String file,
      Map<String, R> before,
      Map<String, R> after,
      Function<R, List<String>> cells,
      List<Change> changes) {
    TreeSet<String> names = new TreeSet<>(before.keySet());
    names.addAll(after.keySet());
    for (String name : names) {
      R old = before.get(name);
      R current = after.get(name);
      if (old == null) {
        changes.add(new Change(file, name, Kind.ADDED, List.of(), cells.apply(current)));
      } else if (current == null) {
        changes.add(new Change(file, name, Kind.REMOVED, cells.apply(old), List.of()));
      } else if (!old.equals(current)) {
        List<String> oldCells = cells.apply(old);
        List<String> newCells = cells.apply(current);
        changes.add(
            new Change(
                file,
                name,
                Kind.CHANGED,
                without(oldCells, newCells),
                without(newCells, oldCells)));
      }
    }
  }

  private static List<String> without(List<String> cells, List<String> others) {
    return cells.stream().filter(cell -> !others.contains(cell)).toList();
  }

  private static List<String> cells(Workspace row) {
    return List.of(
        "weight=" + row.weight(),
        "key_digest=" + String.join(";", row.keyDigests()),
        "max_waiting=" + row.limits().waiting(),
        "max_running=" + row.limits().running(),
        "max_cost_per_minute=" + row.limits().costPerMinute(),
        "services=" + String.join(";", new TreeSet<>(row.services())));
  }

  private static List<String> cells(ServiceEntry row) {
    return List.of(
        "kind=" + row.kind().name().toLowerCase(Locale.ROOT),
        "idempotent_calls="
            + row.idempotentCalls().stream()
                .map(call -> call.method() + " " + call.pathPrefix())
                .collect(Collectors.joining(";")),
        "deadline_seconds=" + row.deadlineMillis() / MILLIS_PER_SECOND,
        "retry_share=" + row.retryShare());
  }
}
