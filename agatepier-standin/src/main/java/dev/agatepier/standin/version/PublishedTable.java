package dev.agatepier.standin.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One version of the table as the platform stand-in serves it.
 *
 * @param version version number
 * @param workspaces CSV text of the workspaces; empty before the first version
 * @param services CSV text of the services; empty before the first version
 * @param pages pages of both
 */
public record PublishedTable(
    long version, String workspaces, String services, List<TablePage> pages) {

  /** What is served before any table was published. */
  public static final PublishedTable NONE = new PublishedTable(0, "", "", List.of());

  /** Copies the pages. */
  public PublishedTable {
    pages = List.copyOf(pages);
  }

  /** Splits both texts into pages. */
  public static PublishedTable of(long version, String workspaces, String services) {
    List<TablePage> pages = new ArrayList<>(TablePages.split("workspaces-", workspaces));
    pages.addAll(TablePages.split("services-", services));
    return new PublishedTable(version, workspaces, services, pages);
  }

  /** Returns the page of a name, if this version has it. */
  public Optional<TablePage> page(String name) {
    return pages.stream().filter(page -> page.name().equals(name)).findFirst();
  }
}
