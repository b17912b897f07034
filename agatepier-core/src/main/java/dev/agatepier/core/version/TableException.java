package dev.agatepier.core.version;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown when a table is rejected because of mistakes. */
public final class TableException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<TableMistake> mistakes;

  /** Creates the exception; its message lists all mistakes. */
  public TableException(List<TableMistake> mistakes) {
    super(mistakes.stream().map(TableMistake::toString).collect(Collectors.joining("; ")));
    this.mistakes = List.copyOf(mistakes);
  }

  /** Returns the mistakes in the order in which they were found. */
  public List<TableMistake> mistakes() {
    return mistakes;
  }
}
