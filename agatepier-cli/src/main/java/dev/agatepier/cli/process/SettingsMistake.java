package dev.agatepier.cli.process;

/**
 * One mistake in the settings.
 *
 * @param path JSON path of the field, such as {@code $.links.port}
 * @param reason what is wrong
 */
public record SettingsMistake(String path, String reason) {

  @Override
  public String toString() {
    return path + ": " + reason;
  }
}
