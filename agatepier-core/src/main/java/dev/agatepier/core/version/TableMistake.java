package dev.agatepier.core.version;

import java.util.Objects;

/**
 * A mistake in a table and its position.
 *
 * @param page name of the page or file
 * @param line line, from 1; 0 if the mistake concerns the whole page
 * @param column column, from 1; 0 if the mistake concerns the whole line
 * @param reason description of the mistake
 */
public record TableMistake(String page, int line, int column, String reason) {

  /** Rejects a null page or reason. */
  public TableMistake {
    Objects.requireNonNull(page, "page");
    Objects.requireNonNull(reason, "reason");
  }

  @Override
  public String toString() {
    return page + ":" + line + ":" + column + ": " + reason;
  }
}
