package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.Reporter;
import java.util.ArrayList;
import java.util.List;

/** Formats rows in aligned columns; lines of more than 80 characters are truncated. */
final class TextTable {

  private static final int MAXIMUM_LINE_WIDTH = 80;
  private static final String COLUMN_SEPARATOR = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  TextTable(Object... header) {
    addRow(header);
  }

  void addRow(Object... cells) {
    rows.add(List.of(cells).stream().map(Object::toString).toList());
  }

  void print(Reporter reporter) {
    int columns = rows.getFirst().size();
    int[] widths = new int[columns];
    for (List<String> row : rows) {
      for (int column = 0; column < columns; column++) {
        widths[column] = Math.max(widths[column], row.get(column).length());
      }
    }
    rows.forEach(row -> reporter.printLine(formatRow(row, widths)));
  }

  private static String formatRow(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < widths.length; column++) {
      String cell = row.get(column);
      line.append(cell).append(" ".repeat(widths[column] - cell.length())).append(COLUMN_SEPARATOR);
    }
    String text = line.toString().stripTrailing();
    return text.length() <= MAXIMUM_LINE_WIDTH
        ? text
        : text.substring(0, MAXIMUM_LINE_WIDTH - 1) + "…";
  }
}
