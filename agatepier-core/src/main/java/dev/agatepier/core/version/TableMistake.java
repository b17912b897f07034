package dev.agatepier.core.version;

import java.util.Objects;

/**
 * One mistake in a table and its place.
 *
 * @param page page or file
 * @param line line, from 1; 0 if the page as a whole is meant
 * @param column column, from 1; 0 if the line as a whole is meant
 * @param reason what is wrong
 */
public record TableMistake(String page, int line, int column, String reason) {

  /** Checks that page and reason are present. */
  public TableMistake {
    Objects.requireNonNull(page, "page");
    Objects.requireNonNull(reason, "reason");
  }

  @Override
  public String toString() {
    return page + ":" + line + ":" + column + ": " + reason;
  }
}
