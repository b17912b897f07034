package dev.agatepier.cli.process;

/** Exit codes of the command. */
public enum ExitCode {
  /** Everything was done and nothing was found. */
  OK(0),
  /** The command worked and found something: mistakes, differences, nothing remembered. */
  FINDINGS(1),
  /** The command line or the settings are wrong. */
  USAGE(2),
  /** A process or the platform cannot be reached. */
  UNREACHABLE(3),
  /** The time ran out. */
  TIMEOUT(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the number that the process ends with. */
  public int code() {
    return code;
  }
}
