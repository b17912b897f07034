package dev.agatepier.cli.process;

import com.fasterxml.jackson.databind.JsonNode;

/** Where the command tells its user what it found. */
public interface Reporter {

  /** Reports a line of readable output. */
  void printLine(String text);

  /** Reports output for programs, one JSON value a line. */
  void printJson(JsonNode value);

  /** Reports why the command could not do what it was asked. */
  void printError(String text);
}
