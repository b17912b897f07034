package dev.agatepier.wire.process;

import java.util.Objects;

/**
 * Where a TCP socket listens or connects to.
 *
 * @param address IP number
 * @param port TCP port; 0 to listen on a free one
 */
public record Endpoint(String address, int port) {

  /** Checks that the address is present. */
  public Endpoint {
    Objects.requireNonNull(address, "address");
  }
}
