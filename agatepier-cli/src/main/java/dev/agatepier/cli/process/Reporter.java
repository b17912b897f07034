package dev.agatepier.cli.process;

import com.fasterxml.jackson.databind.JsonNode;

/** Output of a command. */
public interface Reporter {

  /** Prints a line of human-readable output. */
  void printLine(String text);

  /** Prints a JSON value on one line, for use by programs. */
  void printJson(JsonNode value);

  /** Prints the reason why the command failed, in whole or for one process. */
  void printError(String text);
}
