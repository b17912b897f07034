package dev.agatepier.cli.process;

/** Exit codes of the commands. */
public enum ExitCode {
  /** The command succeeded and found nothing to report. */
  OK(0),
  /** The command ran and found mistakes or differences, or no record of the request. */
  FINDINGS(1),
  /** The command line or the settings are invalid. */
  USAGE(2),
  /** A process or the platform is unreachable or responded with an error. */
  UNREACHABLE(3),
  /** The timeout expired. */
  TIMEOUT(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the numeric exit code. */
  public int code() {
    return code;
  }
}
