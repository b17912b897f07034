package dev.agatepier.core.version;

import java.util.List;

/** What came of reading a table: a whole version or every mistake found. */
public sealed interface TableCheckResult {

  /**
   * The table is sound.
   *
   * @param table the whole version
   */
  record Accepted(Table table) implements TableCheckResult {}

  /**
   * The table is refused as a whole.
   *
   * @param mistakes what is wrong, at least one
   */
  record Refused(List<TableMistake> mistakes) implements TableCheckResult {
    /** Copies the mistakes. */
    public Refused {
      mistakes = List.copyOf(mistakes);
    }
  }
}
