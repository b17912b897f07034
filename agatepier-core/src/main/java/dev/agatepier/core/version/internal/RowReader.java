package dev.agatepier.core.version.internal;

import dev.agatepier.core.version.TableBounds;
import dev.agatepier.core.version.TableCell;
import java.util.List;

/** Reads the cells of one row; a bad cell is noted and gives a harmless value. */
public final class RowReader {

  private final String page;
  private final List<TableCell> cells;
  private final MistakeList mistakes;
  private boolean valid = true;

  /** Creates the reader of one row. */
  public RowReader(String page, List<TableCell> cells, MistakeList mistakes) {
    this.page = page;
    this.cells = cells;
    this.mistakes = mistakes;
  }

  /** Returns whether no cell read so far was bad. */
  public boolean isValid() {
    return valid;
  }

  /** Returns the text of a cell. */
  public String text(int index) {
    return cells.get(index).text().strip();
  }

  /** Notes that a cell is bad. */
  public void reject(int index, String reason) {
    mistakes.add(page, cells.get(index), reason);
    valid = false;
  }

  /** Reads a name of at most 63 lower-case letters, digits, dots, hyphens and underscores. */
  public String name(int index) {
    String text = text(index);
    if (!TableBounds.isValidName(text)) {
      reject(
          index,
          "a name has 1 to 63 of a-z, 0-9, '.', '-' and '_' and starts with a letter or digit");
    }
    return text;
  }

  /** Reads a whole number from a minimum to a maximum. */
  public int integer(int index, String what, int minimum, int maximum) {
    try {
      int value = Integer.parseInt(text(index));
      if (value >= minimum && value <= maximum) {
        return value;
      }
    } catch (NumberFormatException notWhole) {
      // The reason below covers it.
    }
    reject(index, what + " must be a whole number from " + minimum + " to " + maximum);
    return minimum;
  }

  /** Reads a finite number from a minimum to a maximum. */
  public double number(int index, String what, double minimum, double maximum) {
    try {
      double value = Double.parseDouble(text(index));
      if (value >= minimum && value <= maximum) {
        return value;
      }
    } catch (NumberFormatException notNumber) {
      // The reason below covers it.
    }
    reject(index, what + " must be a number from " + minimum + " to " + maximum);
    return minimum;
  }

  /** Reads a list separated by semicolons, bounded in number; an empty cell is an empty list. */
  public List<String> list(int index, int maximum) {
    String text = text(index);
    if (text.isEmpty()) {
      return List.of();
    }
    List<String> parts = List.of(text.split(";", -1)).stream().map(String::strip).toList();
    if (parts.size() > maximum) {
      reject(index, "the list has more than " + maximum + " entries");
      return List.of();
    }
    return parts;
  }
}
