package dev.agatepier.wire.version.internal;

/**
 * Follows a CSV text beside its parser and tells where each cell starts; the parser itself reports
 * only how far its buffer was read.
 */
public final class CsvCellLocator {

  private final String text;
  private int position;
  private int line = 1;
  private int lineStart;

  /** Starts at the first cell of a text. */
  public CsvCellLocator(String text) {
    this.text = text;
  }

  /** Goes to the first cell of the next row that is not empty. */
  public void startRow() {
    while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
      step();
    }
  }

  /** Returns the line of the cell, from 1. */
  public int line() {
    return line;
  }

  /** Returns the column of the cell, from 1. */
  public int column() {
    return position - lineStart + 1;
  }

  /** Goes past the cell and the separator behind it. */
  public void skipCell() {
    boolean quoted = false;
    while (position < text.length()) {
      char character = text.charAt(position);
      if (character == '"') {
        quoted = !quoted;
      } else if (!quoted && (character == ',' || character == '\n')) {
        step();
        return;
      }
      step();
    }
  }

  private void step() {
    if (text.charAt(position) == '\n') {
      line++;
      lineStart = position + 1;
    }
    position++;
  }
}
