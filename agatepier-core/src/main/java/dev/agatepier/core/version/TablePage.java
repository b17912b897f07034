package dev.agatepier.core.version;

import java.util.List;
import java.util.Objects;

/**
 * The cells of one page, its header row first.
 *
 * @param name name of the page or file
 * @param rows rows of cells; no row is empty
 */
public record TablePage(String name, List<List<TableCell>> rows) {

  /** Start of the names of pages that hold workspaces. */
  public static final String WORKSPACES_PREFIX = "workspaces";

  /** Start of the names of pages that hold services. */
  public static final String SERVICES_PREFIX = "services";

  /** Checks the name and copies the rows. */
  public TablePage {
    Objects.requireNonNull(name, "name");
    rows = rows.stream().map(List::copyOf).toList();
  }

  /** Returns whether the page holds workspaces. */
  public boolean holdsWorkspaces() {
    return name.startsWith(WORKSPACES_PREFIX);
  }

  /** Returns whether the page holds services. */
  public boolean holdsServices() {
    return name.startsWith(SERVICES_PREFIX);
  }
}
