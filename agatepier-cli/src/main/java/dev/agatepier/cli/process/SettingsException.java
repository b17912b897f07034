package dev.agatepier.cli.process;

import java.util.List;
import java.util.stream.Collectors;

/** Thrown if the settings have mistakes; none of the settings are then used. */
public final class SettingsException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<SettingsMistake> mistakes;

  /** Creates the exception; its message joins the mistakes. */
  public SettingsException(List<SettingsMistake> mistakes) {
    super(mistakes.stream().map(SettingsMistake::toString).collect(Collectors.joining("; ")));
    this.mistakes = List.copyOf(mistakes);
  }

  /** Returns all mistakes, in the order in which they were found. */
  public List<SettingsMistake> mistakes() {
    return mistakes;
  }
}
