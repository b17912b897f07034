package dev.agatepier.cli.process;

/**
 * A mistake in the settings.
 *
 * @param path JSON path of the field, such as {@code $.links.port}, or the command-line argument
 * @param reason what is invalid
 */
public record SettingsMistake(String path, String reason) {

  @Override
  public String toString() {
    return path + ": " + reason;
  }
}
