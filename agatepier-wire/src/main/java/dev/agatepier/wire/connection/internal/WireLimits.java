package dev.agatepier.wire.connection.internal;

/** Limits of the fields of a message. */
final class WireLimits {

  /** Maximum length of a string, in bytes of UTF-8. */
  static final int MAXIMUM_TEXT_BYTES = 16_384;

  /** Maximum number of elements of a collection. */
  static final int MAXIMUM_ELEMENTS = 32_768;

  /** Maximum length of binary data, in bytes. */
  static final int MAXIMUM_PAYLOAD_BYTES = 5 * 1024 * 1024;

  private WireLimits() {}
}
