package dev.agatepier.cli.process;

import dev.agatepier.cli.process.internal.SettingsParser;
import dev.agatepier.wire.process.RouterSettings;
import dev.agatepier.wire.process.SidecarSettings;
import java.nio.file.Path;

/** Reads the settings of the programs. An invalid file fails with all of its mistakes at once. */
public final class SettingsReader {

  private SettingsReader() {}

  /**
   * Reads the settings of a router.
   *
   * @throws SettingsException if the file is unreadable or has mistakes
   */
  public static RouterSettings readRouter(Path file) {
    return readRouter(file, SettingsDefaults.NONE);
  }

  /**
   * Reads the settings of a router.
   *
   * @param defaults values that the file doesn't state
   * @throws SettingsException if the file is unreadable or has mistakes
   */
  public static RouterSettings readRouter(Path file, SettingsDefaults defaults) {
    return SettingsParser.read(file, defaults, SettingsParser::parseRouter);
  }

  /**
   * Reads the settings of a sidecar.
   *
   * @throws SettingsException if the file is unreadable or has mistakes
   */
  public static SidecarSettings readSidecar(Path file) {
    return readSidecar(file, SettingsDefaults.NONE);
  }

  /**
   * Reads the settings of a sidecar.
   *
   * @param defaults values that the file doesn't state
   * @throws SettingsException if the file is unreadable or has mistakes
   */
  public static SidecarSettings readSidecar(Path file, SettingsDefaults defaults) {
    return SettingsParser.read(file, defaults, SettingsParser::parseSidecar);
  }
}
