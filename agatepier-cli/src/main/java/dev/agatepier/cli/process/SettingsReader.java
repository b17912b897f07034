package dev.agatepier.cli.process;

import dev.agatepier.cli.process.internal.SettingsParser;
import dev.agatepier.wire.process.RouterSettings;
import dev.agatepier.wire.process.SidecarSettings;
import java.nio.file.Path;

/** Reads the settings of the programs; a bad file fails with every mistake at once. */
public final class SettingsReader {

  private SettingsReader() {}

  /**
   * Reads the settings of a router.
   *
   * @throws SettingsException if anything is wrong with them
   */
  public static RouterSettings readRouter(Path file) {
    return SettingsParser.read(file, SettingsParser::parseRouter);
  }

  /**
   * Reads the settings of a sidecar.
   *
   * @throws SettingsException if anything is wrong with them
   */
  public static SidecarSettings readSidecar(Path file) {
    return SettingsParser.read(file, SettingsParser::parseSidecar);
  }
}
