package dev.agatepier.wire.process;

/**
 * Whether a process accepts work.
 *
 * @param ready whether it accepts work
 * @param reason why it does not; empty if it does
 */
public record Readiness(boolean ready, String reason) {

  /** The process accepts work. */
  public static final Readiness READY = new Readiness(true, "");
}
