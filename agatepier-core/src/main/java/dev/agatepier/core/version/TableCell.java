package dev.agatepier.core.version;

import java.util.Objects;

/**
 * One cell of a table page.
 *
 * @param text content of the cell
 * @param line line it starts on, from 1
 * @param column column it starts at, from 1
 */
public record TableCell(String text, int line, int column) {

  /** Checks that there is a text. */
  public TableCell {
    Objects.requireNonNull(text, "text");
  }
}
