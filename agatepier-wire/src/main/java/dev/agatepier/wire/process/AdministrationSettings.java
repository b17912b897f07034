package dev.agatepier.wire.process;

import java.util.Objects;

/**
 * Where the administration API listens and who may call it.
 *
 * @param address IP number to listen on
 * @param port TCP port; 0 asks the system for a free one
 * @param key the administration key
 */
public record AdministrationSettings(String address, int port, String key) {

  /** Checks that there is a key. */
  public AdministrationSettings {
    Objects.requireNonNull(address, "address");
    if (key.isBlank()) {
      throw new IllegalArgumentException("the administration key is empty");
    }
  }

  @Override
  public String toString() {
    return address + ":" + port;
  }
}
