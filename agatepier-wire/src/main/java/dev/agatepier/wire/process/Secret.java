package dev.agatepier.wire.process;

import java.util.Objects;

/**
 * Key or shared secret that {@link #toString} does not reveal.
 *
 * @param value the secret itself
 */
public record Secret(String value) {

  /** Requires a value. */
  public Secret {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public String toString() {
    return "secret";
  }
}
