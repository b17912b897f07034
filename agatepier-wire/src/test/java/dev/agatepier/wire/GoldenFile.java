package dev.agatepier.wire;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * A file of expected lines in {@code src/test/resources/golden}. With {@code -Dgolden.write=true}
 * {@link #assertLines} overwrites the file with the actual lines first.
 */
public record GoldenFile(String name) {

  private static final Path FOLDER = Path.of("src", "test", "resources", "golden");

  public void assertLines(List<String> lines) {
    try {
      if (Boolean.getBoolean("golden.write")) {
        Files.write(FOLDER.resolve(name), lines);
      }
      assertEquals(lines, lines(), name);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  public List<String> lines() {
    try {
      return Files.readAllLines(FOLDER.resolve(name));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
