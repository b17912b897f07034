package dev.agatepier.core.version.internal;

import dev.agatepier.core.version.TableCell;
import dev.agatepier.core.version.TablePage;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Parses the pages of one file and checks header, number of cells, number of rows and duplicate
 * names.
 *
 * @param <R> type that a row is parsed to
 */
abstract class RowsReader<R> {

  private final String file;
  private final List<String> header;
  private final int maximumRows;
  private final MistakeList mistakes;
  private final Map<String, R> rows = new LinkedHashMap<>();
  private final Set<String> names = new HashSet<>();

  RowsReader(String file, List<String> header, int maximumRows, MistakeList mistakes) {
    this.file = file;
    this.header = header;
    this.maximumRows = maximumRows;
    this.mistakes = mistakes;
  }

  /** Parses the pages and returns the valid rows by name. */
  public Map<String, R> read(List<TablePage> pages) {
    if (pages.isEmpty()) {
      mistakes.add(file, 0, 0, "no page found for file " + file);
    }
    pages.forEach(this::readPage);
    return rows;
  }

  /** Returns the names of all rows, including those with mistakes. */
  public Set<String> names() {
    return Set.copyOf(names);
  }

  /** Parses a row that has the expected number of cells; returns null if a cell is invalid. */
  abstract R readRow(RowReader row, String name);

  private void readPage(TablePage page) {
    if (page.rows().isEmpty()) {
      mistakes.add(
          page.name(), 1, 1, "the header row is missing, expected: " + String.join(",", header));
      return;
    }
    if (!hasValidHeader(page)) {
      return;
    }
    for (List<TableCell> cells : page.rows().subList(1, page.rows().size())) {
      if (rows.size() >= maximumRows) {
        mistakes.add(
            page.name(), cells.getFirst(), "the file has more than " + maximumRows + " rows");
        return;
      }
      addRow(page.name(), cells);
    }
  }

  private boolean hasValidHeader(TablePage page) {
    List<TableCell> cells = page.rows().getFirst();
    if (cells.stream().map(cell -> cell.text().strip()).toList().equals(header)) {
      return true;
    }
    mistakes.add(page.name(), cells.getFirst(), "the header must be " + String.join(",", header));
    return false;
  }

  private void addRow(String page, List<TableCell> cells) {
    names.add(cells.getFirst().text().strip());
    if (cells.size() != header.size()) {
      String reason = "the row has " + cells.size() + " cells, not " + header.size();
      mistakes.add(page, cells.getFirst(), reason);
      return;
    }
    RowReader row = new RowReader(page, cells, mistakes);
    String name = row.name(0);
    if (rows.containsKey(name)) {
      row.reject(0, "'" + name + "' already appears in an earlier row");
    }
    R read = readRow(row, name);
    if (read != null) {
      rows.putIfAbsent(name, read);
    }
  }
}
