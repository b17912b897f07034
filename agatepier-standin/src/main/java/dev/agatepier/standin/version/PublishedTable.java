package dev.agatepier.standin.version;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A version of the table as published by the platform stand-in.
 *
 * @param version version number
 * @param workspaces workspaces as CSV; empty before the first version
 * @param services services as CSV; empty before the first version
 * @param pages pages of the workspaces, then those of the services
 */
public record PublishedTable(
    long version, String workspaces, String services, List<TablePage> pages) {

  /** Version 0, served until the first table is published. */
  public static final PublishedTable NONE = new PublishedTable(0, "", "", List.of());

  /** Copies the pages. */
  public PublishedTable {
    pages = List.copyOf(pages);
  }

  /** Creates a version and splits both CSV texts into pages. */
  public static PublishedTable of(long version, String workspaces, String services) {
    List<TablePage> pages = new ArrayList<>(TablePages.split("workspaces-", workspaces));
    pages.addAll(TablePages.split("services-", services));
    return new PublishedTable(version, workspaces, services, pages);
  }

  /** Returns the page with a name, if this version contains it. */
  public Optional<TablePage> page(String name) {
    return pages.stream().filter(page -> page.name().equals(name)).findFirst();
  }
}
