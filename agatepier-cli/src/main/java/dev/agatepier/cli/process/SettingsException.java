package dev.agatepier.cli.process;

import java.util.List;
import java.util.stream.Collectors;

/** The settings are refused as a whole. */
public final class SettingsException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingsMistake> mistakes;

  /** Creates the error for the mistakes found. */
  public SettingsException(List<SettingsMistake> mistakes) {
    super(mistakes.stream().map(SettingsMistake::toString).collect(Collectors.joining("; ")));
    this.mistakes = List.copyOf(mistakes);
  }

  /** Returns the mistakes found. */
  public List<SettingsMistake> mistakes() {
    return mistakes;
  }
}
