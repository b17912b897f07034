package dev.agatepier.core.version;

import java.util.List;
import java.util.Objects;

/**
 * The cells of one page, starting with the header row.
 *
 * @param name name of the page or file
 * @param rows rows of cells; no row is empty
 */
public record TablePage(String name, List<List<TableCell>> rows) {

  /** Prefix of the names of pages that contain workspaces. */
  public static final String WORKSPACES_PREFIX = "workspaces";

  /** Prefix of the names of pages that contain services. */
  public static final String SERVICES_PREFIX = "services";

  /** Rejects a null name; copies the rows. */
  public TablePage {
    Objects.requireNonNull(name, "name");
    rows = rows.stream().map(List::copyOf).toList();
  }

  /** Returns whether the page contains workspaces, judged by its name. */
  public boolean holdsWorkspaces() {
    return name.startsWith(WORKSPACES_PREFIX);
  }

  /** Returns whether the page contains services, judged by its name. */
  public boolean holdsServices() {
    return name.startsWith(SERVICES_PREFIX);
  }
}
