package dev.agatepier.wire.process;

import java.util.Objects;

/**
 * A key or shared secret; its text form does not show it.
 *
 * @param value the secret itself
 */
public record Secret(String value) {

  /** Checks that it is present. */
  public Secret {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public String toString() {
    return "secret";
  }
}
