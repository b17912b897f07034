package dev.agatepier.cli.process.internal;

import dev.agatepier.cli.process.Reporter;
import java.util.ArrayList;
import java.util.List;

/** Lays rows out in columns, in at most 80 characters a line. */
final class TextTable {

  private static final int MAXIMUM_WIDTH = 80;
  private static final String GAP = "  ";

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
    rows.forEach(row -> reporter.printLine(line(row, widths)));
  }

  private static String line(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int column = 0; column < widths.length; column++) {
      String cell = row.get(column);
      line.append(cell).append(" ".repeat(widths[column] - cell.length())).append(GAP);
    }
    String text = line.toString().stripTrailing();
    return text.length() <= MAXIMUM_WIDTH ? text : text.substring(0, MAXIMUM_WIDTH - 1) + "…";
  }
}
