package dev.agatepier.wire.process;

import java.util.Objects;

/**
 * Listening address and key of the administration API.
 *
 * @param address IP address to listen on
 * @param port TCP port; 0 lets the system choose a free one
 * @param key key that authenticated calls present
 */
public record AdministrationSettings(String address, int port, String key) {

  /** Requires an address and a key that is not blank. */
  public AdministrationSettings {
    Objects.requireNonNull(address, "address");
    if (key.isBlank()) {
      throw new IllegalArgumentException("the administration key is blank");
    }
  }

  @Override
  public String toString() {
    return address + ":" + port;
  }
}
