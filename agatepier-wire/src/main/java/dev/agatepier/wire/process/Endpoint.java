package dev.agatepier.wire.process;

import java.util.Objects;

/**
 * Address and port that a TCP socket listens on or connects to.
 *
 * @param address IP address
 * @param port TCP port; 0 to listen on a free one
 */
public record Endpoint(String address, int port) {

  /** Requires an address. */
  public Endpoint {
    Objects.requireNonNull(address, "address");
  }
}
