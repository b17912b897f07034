package dev.agatepier.core.version;

import dev.agatepier.core.version.internal.MistakeList;
import dev.agatepier.core.version.internal.ServiceRows;
import dev.agatepier.core.version.internal.WorkspaceRows;
import java.util.List;
import java.util.Map;

/** Validates the cells of a table and builds the version, or reports the mistakes found. */
public final class TableChecker {

  private TableChecker() {}

  /**
   * Validates all pages of a version. A single mistake rejects the whole version.
   *
   * @param version number of the version
   * @param pages the pages, in any order
   */
  public static TableCheckResult check(long version, List<TablePage> pages) {
    MistakeList mistakes = new MistakeList();
    for (TablePage page : pages) {
      if (!page.holdsWorkspaces() && !page.holdsServices()) {
        mistakes.add(page.name(), 0, 0, "the page name must start with 'workspaces' or 'services'");
      }
    }
    ServiceRows serviceRows = new ServiceRows(mistakes);
    Map<String, ServiceEntry> services = serviceRows.read(select(pages, TablePage.SERVICES_PREFIX));
    Map<String, Workspace> workspaces =
        new WorkspaceRows(mistakes, serviceRows.names())
            .read(select(pages, TablePage.WORKSPACES_PREFIX));
    if (!mistakes.isEmpty()) {
      return new TableCheckResult.Refused(mistakes.all());
    }
    return new TableCheckResult.Accepted(new Table(version, workspaces, services));
  }

  private static List<TablePage> select(List<TablePage> pages, String prefix) {
    return pages.stream().filter(page -> page.name().startsWith(prefix)).toList();
  }
}
