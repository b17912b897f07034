package dev.agatepier.standin.version;

import dev.agatepier.standin.request.Digests;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits CSV text into pages by content-defined chunking: rows are sorted by name, and a page ends
 * after each row whose name hashes to a boundary, so that a change of one row changes one page.
 */
public final class TablePages {

  /** Maximum length of a page; even with four-byte characters a page is smaller than 1 MiB. */
  static final int MAXIMUM_CHARACTERS = 250_000;

  /** Mean number of rows per page, as one in this many names hashes to a boundary. */
  private static final int AVERAGE_ROWS = 128;

  private TablePages() {}

  /**
   * Splits a CSV text.
   *
   * @param prefix prefix of the page names
   * @param csv CSV text, header line first
   * @throws IllegalArgumentException if the text has no header line
   */
  public static List<TablePage> split(String prefix, String csv) {
    List<String> lines = csv.lines().filter(line -> !line.isBlank()).toList();
    if (lines.isEmpty()) {
      throw new IllegalArgumentException(prefix + " has no header line");
    }
    String header = lines.getFirst() + "\n";
    List<TablePage> pages = new ArrayList<>();
    StringBuilder content = new StringBuilder(header);
    for (String row : lines.stream().skip(1).sorted().toList()) {
      if (content.length() + row.length() >= MAXIMUM_CHARACTERS) {
        pages.add(TablePage.of(prefix, content.toString()));
        content = new StringBuilder(header);
      }
      content.append(row).append('\n');
      if (isBoundary(row)) {
        pages.add(TablePage.of(prefix, content.toString()));
        content = new StringBuilder(header);
      }
    }
    if (content.length() > header.length() || pages.isEmpty()) {
      pages.add(TablePage.of(prefix, content.toString()));
    }
    return pages;
  }

  private static boolean isBoundary(String row) {
    String name = row.substring(0, row.indexOf(',') < 0 ? row.length() : row.indexOf(','));
    return Integer.parseUnsignedInt(Digests.sha256(name).substring(0, 7), 16) % AVERAGE_ROWS == 0;
  }
}
