package dev.agatepier.core.version;

import java.util.List;

/** What came of reading a table: a whole version or every mistake found. */
public sealed interface TableReading {

  /**
   * The table is sound.
   *
   * @param table the whole version
   */
  record Accepted(Table table) implements TableReading {}

  /**
   * The table is refused as a whole.
   *
   * @param mistakes what is wrong, at least one
   */
  record Refused(List<TableMistake> mistakes) implements TableReading {
    /** Copies the mistakes. */
    public Refused {
      mistakes = List.copyOf(mistakes);
    }
  }
}
