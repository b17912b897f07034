package dev.agatepier.core.version;

import java.util.List;

/** Result of checking a table: either a complete version or all mistakes found. */
public sealed interface TableCheckResult {

  /**
   * The table is valid.
   *
   * @param table the complete version
   */
  record Accepted(Table table) implements TableCheckResult {}

  /**
   * The table is rejected as a whole.
   *
   * @param mistakes the mistakes, at least one
   */
  record Refused(List<TableMistake> mistakes) implements TableCheckResult {
    /** Copies the mistakes. */
    public Refused {
      mistakes = List.copyOf(mistakes);
    }
  }
}
