package dev.agatepier.core.version;

import java.util.List;
import java.util.stream.Collectors;

/** A table was refused. */
public final class TableException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<TableMistake> mistakes;

  /** Creates the error for the mistakes found. */
  public TableException(List<TableMistake> mistakes) {
    super(mistakes.stream().map(TableMistake::toString).collect(Collectors.joining("; ")));
    this.mistakes = List.copyOf(mistakes);
  }

  /** Returns the mistakes found. */
  public List<TableMistake> mistakes() {
    return mistakes;
  }
}
