package dev.agatepier.cli.process;

import dev.agatepier.wire.process.ProcessorSettings;
import java.util.Map;
import java.util.Objects;

/**
 * Values of settings that a file doesn't state.
 *
 * @param processor processor time of the instance
 * @param fields value of each field, in JSON, by its path of names separated by dots
 */
public record SettingsDefaults(ProcessorSettings processor, Map<String, String> fields) {

  /** No values beyond those of the program. */
  public static final SettingsDefaults NONE =
      new SettingsDefaults(ProcessorSettings.DEFAULT, Map.of());

  /** Rejects null and copies the fields. */
  public SettingsDefaults {
    Objects.requireNonNull(processor, "processor");
    fields = Map.copyOf(fields);
  }
}
