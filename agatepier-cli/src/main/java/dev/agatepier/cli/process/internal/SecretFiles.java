package dev.agatepier.cli.process.internal;

import dev.agatepier.wire.process.Secret;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads key and secret files, whose paths are relative to the folder of the settings file. */
final class SecretFiles {

  private static final int SHORTEST_SECRET = 16;
  private static final int LONGEST_SECRET = 4_096;

  private final Path folder;

  SecretFiles(Path folder) {
    this.folder = folder;
  }

  /** Reads a secret from the settings, or else from the file that they name. */
  Secret secret(ObjectReader object, String textField, String fileField) {
    return object.has(textField)
        ? validate(object, textField, object.text(textField))
        : secret(object, fileField);
  }

  private Secret secret(ObjectReader object, String field) {
    Path file = readableFile(object, field);
    try {
      if (Files.isReadable(file) && Files.isRegularFile(file)) {
        return validate(object, field, file);
      }
    } catch (IOException failure) {
      object.addMistake(field, "the file cannot be read");
    }
    return new Secret("");
  }

  private static Secret validate(ObjectReader object, String field, Path file) throws IOException {
    if (Files.size(file) > LONGEST_SECRET) {
      object.addMistake(field, "the file has more than " + LONGEST_SECRET + " bytes");
      return new Secret("");
    }
    return validate(
        object, field, new String(Files.readAllBytes(file), StandardCharsets.UTF_8).strip());
  }

  private static Secret validate(ObjectReader object, String field, String text) {
    if (text.length() < SHORTEST_SECRET) {
      object.addMistake(field, "the secret has fewer than " + SHORTEST_SECRET + " characters");
    }
    return new Secret(text);
  }

  Path readableFile(ObjectReader object, String field) {
    String name = object.text(field);
    Path file = folder.resolve(name);
    if (!name.isEmpty() && !(Files.isRegularFile(file) && Files.isReadable(file))) {
      object.addMistake(field, "the file cannot be read");
    }
    return file;
  }
}
