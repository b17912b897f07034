package dev.agatepier.core.version.internal;

import dev.agatepier.core.version.TableCell;
import dev.agatepier.core.version.TableMistake;
import java.util.ArrayList;
import java.util.List;

/** Collects the mistakes of one table, up to a maximum number. */
public final class MistakeList {

  /** Maximum number of mistakes kept; further ones are dropped. */
  private static final int MAXIMUM_MISTAKES = 200;

  private final List<TableMistake> mistakes = new ArrayList<>();

  /** Adds a mistake by its position, unless the list is full. */
  public void add(String page, int line, int column, String reason) {
    if (mistakes.size() < MAXIMUM_MISTAKES) {
      mistakes.add(new TableMistake(page, line, column, reason));
    }
  }

  /** Adds a mistake at the position of a cell. */
  public void add(String page, TableCell cell, String reason) {
    add(page, cell.line(), cell.column(), reason);
  }

  /** Returns whether no mistake was found. */
  public boolean isEmpty() {
    return mistakes.isEmpty();
  }

  /** Returns the mistakes in the order in which they were found. */
  public List<TableMistake> all() {
    return List.copyOf(mistakes);
  }
}
