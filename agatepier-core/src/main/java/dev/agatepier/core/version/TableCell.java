package dev.agatepier.core.version;

import java.util.Objects;

/**
 * One cell of a table page.
 *
 * @param text content of the cell
 * @param line line on which it starts, from 1
 * @param column column at which it starts, from 1
 */
public record TableCell(String text, int line, int column) {

  /** Rejects a null text. */
  public TableCell {
    Objects.requireNonNull(text, "text");
  }
}
