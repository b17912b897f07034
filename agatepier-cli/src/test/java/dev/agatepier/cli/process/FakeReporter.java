package dev.agatepier.cli.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Records output and errors. */
public final class FakeReporter implements Reporter {

  public final List<String> lines = new ArrayList<>();
  public final List<JsonNode> values = new ArrayList<>();
  public final List<String> errors = new ArrayList<>();

  @Override
  public void printLine(String text) {
    lines.add(text);
  }

  @Override
  public void printJson(JsonNode value) {
    values.add(value);
  }

  @Override
  public void printError(String text) {
    errors.add(text);
  }
}
