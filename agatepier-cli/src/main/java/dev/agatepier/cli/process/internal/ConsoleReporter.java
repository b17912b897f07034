package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import dev.agatepier.cli.process.Reporter;
import java.io.PrintStream;

/** Prints output to one stream and errors to another. */
public final class ConsoleReporter implements Reporter {

  private final PrintStream output;
  private final PrintStream errors;

  /** Creates a reporter on standard output and standard error, or on streams in their place. */
  public ConsoleReporter(PrintStream output, PrintStream errors) {
    this.output = output;
    this.errors = errors;
  }

  @Override
  public void printLine(String text) {
    output.println(text);
  }

  @Override
  public void printJson(JsonNode value) {
    output.println(value);
  }

  @Override
  public void printError(String text) {
    errors.println("agatepier: " + text);
  }
}
