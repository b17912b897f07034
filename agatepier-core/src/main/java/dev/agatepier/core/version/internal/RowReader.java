package dev.agatepier.core.version.internal;

import dev.agatepier.core.version.TableBounds;
import dev.agatepier.core.version.TableCell;
import java.util.List;

/**
 * Parses the cells of one row. An invalid cell is recorded as a mistake and yields a valid default
 * value, so that the remaining cells can be checked too.
 */
public final class RowReader {

  private final String page;
  private final List<TableCell> cells;
  private final MistakeList mistakes;
  private boolean valid = true;

  /** Creates a parser of one row that adds mistakes to the given list. */
  public RowReader(String page, List<TableCell> cells, MistakeList mistakes) {
    this.page = page;
    this.cells = cells;
    this.mistakes = mistakes;
  }

  /** Returns whether all cells read so far were valid. */
  public boolean isValid() {
    return valid;
  }

  /** Returns the text of a cell without surrounding white space. */
  public String text(int index) {
    return cells.get(index).text().strip();
  }

  /** Records a mistake in a cell and marks the row as invalid. */
  public void reject(int index, String reason) {
    mistakes.add(page, cells.get(index), reason);
    valid = false;
  }

  /**
   * Parses a name of at most 63 lower-case letters, digits, dots, hyphens and underscores; returns
   * the text even if it is invalid.
   */
  public String name(int index) {
    String text = text(index);
    if (!TableBounds.isValidName(text)) {
      reject(
          index,
          "a name has 1 to 63 of a-z, 0-9, '.', '-' and '_' and starts with a letter or digit");
    }
    return text;
  }

  /**
   * Parses an integer between a minimum and a maximum, both inclusive; returns the minimum for an
   * invalid cell.
   */
  public int integer(int index, String what, int minimum, int maximum) {
    try {
      int value = Integer.parseInt(text(index));
      if (value >= minimum && value <= maximum) {
        return value;
      }
    } catch (NumberFormatException malformedInteger) {
      // Reported below, like a value out of range.
    }
    reject(index, what + " must be an integer from " + minimum + " to " + maximum);
    return minimum;
  }

  /**
   * Parses a finite number between a minimum and a maximum, both inclusive; returns the minimum for
   * an invalid cell.
   */
  public double number(int index, String what, double minimum, double maximum) {
    try {
      double value = Double.parseDouble(text(index));
      if (value >= minimum && value <= maximum) {
        return value;
      }
    } catch (NumberFormatException malformedNumber) {
      // Reported below, like a value out of range.
    }
    reject(index, what + " must be a number from " + minimum + " to " + maximum);
    return minimum;
  }

  /**
   * Parses a list separated by semicolons. Returns an empty list for an empty cell or one with too
   * many entries.
   */
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
