package dev.agatepier.standin.connection;

/** Direction of the bytes of a proxied connection. */
public enum Direction {
  /** From the caller to the target. */
  TO_TARGET,
  /** From the target to the caller. */
  TO_CALLER;

  /** Returns the other direction. */
  public Direction opposite() {
    return this == TO_TARGET ? TO_CALLER : TO_TARGET;
  }
}
