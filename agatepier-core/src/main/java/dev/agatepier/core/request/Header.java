package dev.agatepier.core.request;

import java.util.Objects;

/**
 * One HTTP header field.
 *
 * @param name field name, lower case
 * @param value field value
 */
public record Header(String name, String value) {

  /** Rejects null parts. */
  public Header {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(value, "value");
  }
}
