package dev.agatepier.wire.process;

import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * What a process may use.
 *
 * @param heapBytes maximum size of the heap, in bytes
 * @param directBytes maximum size of the direct memory, in bytes
 * @param descriptors maximum number of open descriptors
 */
public record ProcessResources(long heapBytes, long directBytes, int descriptors) {

  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final String DESCRIPTORS = "Max open files";

  /** Descriptors of a process whose system does not tell: as many as Linux allows by default. */
  private static final int DEFAULT_DESCRIPTORS = 1_024;

  /** Returns what this process may use. */
  public static ProcessResources ofThisProcess() {
    return new ProcessResources(
        Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory(), descriptorLimit());
  }

  /** Reads the hard limit, to which the Java runtime raises its own. */
  private static int descriptorLimit() {
    try (Stream<String> lines = Files.lines(LIMITS)) {
      return lines
          .filter(line -> line.startsWith(DESCRIPTORS))
          .map(line -> line.substring(DESCRIPTORS.length()).strip().split(" +")[1])
          .map(limit -> limit.equals("unlimited") ? Integer.MAX_VALUE : Integer.parseInt(limit))
          .findFirst()
          .orElse(DEFAULT_DESCRIPTORS);
    } catch (IOException | NumberFormatException unknown) {
      return DEFAULT_DESCRIPTORS;
    }
  }
}
