package dev.agatepier.wire.connection.internal;

/** Bounds of what a message may hold. */
final class WireBounds {

  /** Longest text, in bytes of UTF-8. */
  static final int MAXIMUM_TEXT_BYTES = 16_384;

  /** Most elements of one collection. */
  static final int MAXIMUM_ELEMENTS = 32_768;

  /** Longest payload, in bytes. */
  static final int MAXIMUM_PAYLOAD_BYTES = 5 * 1024 * 1024;

  private WireBounds() {}
}
