package dev.agatepier.cli.process.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** The {@code --json} argument and the encoding of values as JSON. */
final class JsonOutput {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private JsonOutput() {}

  static void addArgument(ArgumentParser parser) {
    parser
        .addArgument("--json")
        .action(Arguments.storeTrue())
        .help("print JSON, one value per line");
  }

  static boolean isRequested(Namespace arguments) {
    return Boolean.TRUE.equals(arguments.getBoolean("json"));
  }

  static JsonNode encode(Object value) {
    return MAPPER.valueToTree(value);
  }
}
