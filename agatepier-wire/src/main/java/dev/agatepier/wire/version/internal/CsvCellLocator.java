package dev.agatepier.wire.version.internal;

/**
 * Scans a CSV text in step with its parser to find the line and column at which each cell starts.
 * The parser itself reports only how far its buffer has been read.
 */
public final class CsvCellLocator {

  private final String text;
  private int position;
  private int line = 1;
  private int lineStart;

  /** Creates a locator at the first cell of the text. */
  public CsvCellLocator(String text) {
    this.text = text;
  }

  /** Moves to the first cell of the next row that is not empty. */
  public void startRow() {
    while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
      advance();
    }
  }

  /** Returns the line of the current cell, counted from 1. */
  public int line() {
    return line;
  }

  /** Returns the column of the current cell, counted from 1. */
  public int column() {
    return position - lineStart + 1;
  }

  /** Moves past the current cell and the separator that follows it. */
  public void skipCell() {
    boolean quoted = false;
    while (position < text.length()) {
      char character = text.charAt(position);
      if (character == '"') {
        quoted = !quoted;
      } else if (!quoted && (character == ',' || character == '\n')) {
        advance();
        return;
      }
      advance();
    }
  }

  private void advance() {
    if (text.charAt(position) == '\n') {
      line++;
      lineStart = position + 1;
    }
    position++;
  }
}
